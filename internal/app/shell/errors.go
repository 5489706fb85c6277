package shell

import (
	"fmt"

	"github.com/juju/errors"
)

// Errors of queries.
const (
	// ErrBadQuery is returned when a query does not exist, has too many arguments,
	// or is about an unknown subject.
	ErrBadQuery = errors.ConstError("bad query")
	// ErrUnreachable is returned when a node that a query needs was not reached.
	ErrUnreachable = errors.ConstError("a node could not be reached")
)

func badQuery(format string, arguments ...any) error {
	return errors.WithType(fmt.Errorf(format, arguments...), ErrBadQuery)
}

func unreachable(format string, arguments ...any) error {
	return errors.WithType(fmt.Errorf(format, arguments...), ErrUnreachable)
}
