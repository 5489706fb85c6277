package simulation

import "fmt"

// fleetKind names a kind of fleet as the options of the simulate command do.
type fleetKind struct{ mode, shape string }

// digestRuns gives the digest of the history of a seed, by kind of fleet.
var digestRuns = map[fleetKind]func(seed uint64) string{
	{"json", "magnolia"}:  func(seed uint64) string { return Run(seed, SmallConfig(), Defects{}, nil).HistoryDigest },
	{"json", "chile"}:     func(seed uint64) string { return Run(seed, LargeConfig(), Defects{}, nil).HistoryDigest },
	{"lines", "magnolia"}: func(seed uint64) string { return RunLines(seed, SmallLineConfig(), LineDefects{}, nil).HistoryDigest },
	{"lines", "chile"}:    func(seed uint64) string { return RunLines(seed, LargeLineConfig(), LineDefects{}, nil).HistoryDigest },
}

// UnknownFleetError says that there is no kind of fleet of these names.
type UnknownFleetError struct{ Mode, Shape string }

func (e *UnknownFleetError) Error() string {
	return fmt.Sprintf("no fleet of mode %q and shape %q", e.Mode, e.Shape)
}

// DigestOf gives the function from a seed to the digest of its history, for a
// kind of fleet. The digest covers every line of the history; builds whose
// machines decide alike have the same. The error is an UnknownFleetError.
func DigestOf(mode, shape string) (func(seed uint64) string, error) {
	run, known := digestRuns[fleetKind{mode, shape}]
	if !known {
		return nil, &UnknownFleetError{Mode: mode, Shape: shape}
	}
	return run, nil
}
