package shell

import (
	"fmt"

	"github.com/juju/errors"
)

// Errors of queries.
const (
	// ErrBadQuery says that a query does not exist, has too many words, or is
	// about something unknown.
	ErrBadQuery = errors.ConstError("bad query")
	// ErrUnreachable says that a node that had to be asked was not reached.
	ErrUnreachable = errors.ConstError("a node could not be reached")
)

func badQuery(format string, arguments ...any) error {
	return errors.WithType(fmt.Errorf(format, arguments...), ErrBadQuery)
}

func unreachable(format string, arguments ...any) error {
	return errors.WithType(fmt.Errorf(format, arguments...), ErrUnreachable)
}
