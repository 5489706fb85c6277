package simulation

import "fmt"

// fleetKind is a kind of fleet, named like the values of the flags -manner and
// -shape of the simulate command.
type fleetKind struct{ mode, shape string }

// digestRuns has, for each kind of fleet, the function that runs a seed and
// returns the digest of its history.
var digestRuns = map[fleetKind]func(seed uint64) string{
	{"json", "magnolia"}:  func(seed uint64) string { return Run(seed, SmallConfig(), Defects{}, nil).HistoryDigest },
	{"json", "chile"}:     func(seed uint64) string { return Run(seed, LargeConfig(), Defects{}, nil).HistoryDigest },
	{"lines", "magnolia"}: func(seed uint64) string { return RunLines(seed, SmallLineConfig(), LineDefects{}, nil).HistoryDigest },
	{"lines", "chile"}:    func(seed uint64) string { return RunLines(seed, LargeLineConfig(), LineDefects{}, nil).HistoryDigest },
}

// UnknownFleetError is returned when no kind of fleet has the given mode and
// shape.
type UnknownFleetError struct{ Mode, Shape string }

func (e *UnknownFleetError) Error() string {
	return fmt.Sprintf("no fleet of mode %q and shape %q", e.Mode, e.Shape)
}

// DigestOf returns the function that runs a seed of a kind of fleet and returns
// the digest of its history. The digest covers every line of the history: two
// builds that make the same decisions have the same digest. The error is an
// UnknownFleetError.
func DigestOf(mode, shape string) (func(seed uint64) string, error) {
	run, found := digestRuns[fleetKind{mode, shape}]
	if !found {
		return nil, &UnknownFleetError{Mode: mode, Shape: shape}
	}
	return run, nil
}
