package config

import (
	"strings"

	"github.com/juju/errors"
	"go.uber.org/multierr"
)

// ErrInvalid is returned when a configuration is invalid.
const ErrInvalid = errors.ConstError("settings cannot be used")

// InvalidError lists every reason why a configuration is invalid. Parse and Load
// return it as an ErrInvalid.
type InvalidError struct{ Reasons []string }

func (e *InvalidError) Error() string {
	return "settings cannot be used: " + strings.Join(e.Reasons, "; ")
}

func newInvalidError(failures error) error {
	invalid := &InvalidError{}
	for _, failure := range multierr.Errors(failures) {
		invalid.Reasons = append(invalid.Reasons, failure.Error())
	}
	return errors.WithType(invalid, ErrInvalid)
}

// Reasons returns every reason behind an error of Parse or Load.
func Reasons(err error) []string {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Reasons
	}
	return []string{err.Error()}
}
