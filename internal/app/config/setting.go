package config

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Reasons why the text of a setting cannot be read.
const (
	errNotInteger = errors.ConstError("not a whole number")
	errNotNumber  = errors.ConstError("not a number")
	errNotBoolean = errors.ConstError("not true or false")
)

// setting is one setting. A new one is a row of the table settings, with a
// constraint in validate.go if not every value will do, and a row in
// docs/settings.md.
type setting struct {
	// name is its key in the file.
	name string
	// programs have the setting.
	programs []Program
	// help says in a line, with the unit, what the setting is.
	help string
	// reloadable says that a change is taken while the program runs.
	reloadable bool
	// parse reads a text into the field of a configuration.
	parse func(c *Config, value string) error
	// format writes the field as a text that parse reads.
	format func(Config) string
}

// flag is the setting's name on the command line, without the dashes.
func (s setting) flag() string { return strings.ReplaceAll(s.name, "_", "-") }

// reloadable marks a setting whose change is taken while the program runs.
func reloadable(s setting) setting {
	s.reloadable = true
	return s
}

// newSetting makes the setting of one field. An error of parse is the reason why
// a text cannot be read.
func newSetting[T any](
	programs []Program, name, help string, field func(*Config) *T, parse func(string) (T, error), format func(T) string,
) setting {
	return setting{
		name: name, programs: programs, help: help,
		parse: func(c *Config, text string) error {
			value, err := parse(text)
			if err != nil {
				return err
			}
			*field(c) = value
			return nil
		},
		format: func(c Config) string { return format(*field(&c)) },
	}
}

func stringSetting(programs []Program, name, help string, field func(*Config) *string) setting {
	same := func(text string) string { return text }
	return newSetting(programs, name, help, field, func(text string) (string, error) { return text, nil }, same)
}

func modeSetting(programs []Program, name, help string, field func(*Config) *Mode) setting {
	parse := func(text string) (Mode, error) { return Mode(text), nil }
	return newSetting(programs, name, help, field, parse, func(mode Mode) string { return string(mode) })
}

// listSetting is a list of texts with commas between.
func listSetting(programs []Program, name, help string, field func(*Config) *[]string) setting {
	join := func(items []string) string { return strings.Join(items, ",") }
	return newSetting(programs, name, help, field, parseList, join)
}

func parseList(text string) ([]string, error) {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items, nil
}

func intSetting(programs []Program, name, help string, field func(*Config) *int) setting {
	return newSetting(programs, name, help, field, parseInt, strconv.Itoa)
}

func parseInt(text string) (int, error) {
	number, err := strconv.Atoi(text)
	if err != nil {
		return 0, errNotInteger
	}
	return number, nil
}

func floatSetting(programs []Program, name, help string, field func(*Config) *float64) setting {
	return newSetting(programs, name, help, field, parseFloat, formatFloat)
}

func parseFloat(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errNotNumber
	}
	return number, nil
}

func formatFloat(number float64) string { return strconv.FormatFloat(number, 'g', -1, 64) }

// durationSetting is a duration whose text is a number of units.
func durationSetting(programs []Program, name, help string, unit time.Duration, field func(*Config) *time.Duration) setting {
	parse := func(text string) (time.Duration, error) {
		number, err := parseFloat(text)
		return time.Duration(number * float64(unit)), err
	}
	format := func(duration time.Duration) string { return formatFloat(float64(duration) / float64(unit)) }
	return newSetting(programs, name, help, field, parse, format)
}

func boolSetting(programs []Program, name, help string, field func(*Config) *bool) setting {
	return newSetting(programs, name, help, field, parseBool, strconv.FormatBool)
}

func parseBool(text string) (bool, error) {
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, errNotBoolean
	}
	return value, nil
}
