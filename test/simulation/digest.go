package simulation

import "fmt"

// DigestOf gives the function from a seed to the digest of its history, for
// a manner and a shape of fleet by name. The digest covers everything that is
// noted in a run; builds whose machines decide alike have the same.
func DigestOf(manner, shape string) (func(seed uint64) string, error) {
	runs := map[[2]string]func(uint64) string{
		{"json", "magnolia"}:  func(seed uint64) string { return Run(seed, SmallConfig(), Defects{}, nil).HistoryDigest },
		{"json", "chile"}:     func(seed uint64) string { return Run(seed, LargeConfig(), Defects{}, nil).HistoryDigest },
		{"lines", "magnolia"}: func(seed uint64) string { return RunLines(seed, SmallLineConfig(), LineDefects{}, nil).HistoryDigest },
		{"lines", "chile"}:    func(seed uint64) string { return RunLines(seed, LargeLineConfig(), LineDefects{}, nil).HistoryDigest },
	}
	run, known := runs[[2]string{manner, shape}]
	if !known {
		return nil, fmt.Errorf("no fleet of manner %q and shape %q", manner, shape)
	}
	return run, nil
}
