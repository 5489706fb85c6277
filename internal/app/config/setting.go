package config

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Reasons why the text of a setting cannot be parsed.
const (
	errNotInteger = errors.ConstError("not a whole number")
	errNotNumber  = errors.ConstError("not a number")
	errNotBoolean = errors.ConstError("not true or false")
)

// setting describes one setting. To add a setting, add a row to the table settings
// and a row in docs/settings.md, and a constraint in validate.go if not every value
// is valid.
type setting struct {
	// name is the setting's key in the file.
	name string
	// programs are the programs that have the setting.
	programs []Program
	// help describes the setting in one line, with its unit.
	help string
	// reloadable is true if the setting can change while the program runs.
	reloadable bool
	// parse parses a text and sets the field of a configuration to the value.
	parse func(c *Config, value string) error
	// format returns the field's value as a text that parse accepts.
	format func(Config) string
}

// flag returns the setting's name on the command line, without the leading dashes.
func (s setting) flag() string { return strings.ReplaceAll(s.name, "_", "-") }

// reloadable marks a setting as one that can change while the program runs.
func reloadable(s setting) setting {
	s.reloadable = true
	return s
}

// newSetting returns the setting of one field. An error of parse is the reason why
// a text cannot be parsed.
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
	identity := func(text string) string { return text }
	return newSetting(programs, name, help, field, func(text string) (string, error) { return text, nil }, identity)
}

func modeSetting(programs []Program, name, help string, field func(*Config) *Mode) setting {
	parse := func(text string) (Mode, error) { return Mode(text), nil }
	return newSetting(programs, name, help, field, parse, func(mode Mode) string { return string(mode) })
}

// listSetting returns the setting of a comma-separated list.
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

// durationSetting returns the setting of a duration, whose text is a number in the
// given unit.
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
