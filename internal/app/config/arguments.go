package config

import (
	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// arguments are what the arguments of a program say.
type arguments struct {
	// file is the settings file; empty for none.
	file string
	// checkOnly says that the program is to end once the configuration was
	// checked.
	checkOnly bool
	// flagValues are the texts of the settings that are given as flags, by the
	// setting's name. A flag with an empty text counts as not given.
	flagValues map[string]string
}

// parseArguments reads the arguments of a program. Where they ask for help or
// the version, or name an unknown flag, it ends the process as flaggy does.
func parseArguments(program Program, args []string) (arguments, error) {
	parser := flaggy.NewParser(string(program))
	parser.Description = descriptions[program]
	parser.Version = Version
	parsed := arguments{flagValues: map[string]string{}}
	parser.String(&parsed.file, "c", "config", "settings file (JSON)")
	parser.Bool(&parsed.checkOnly, "", "check", "check the settings, say what is wrong, and end")
	values := map[string]*string{}
	for _, s := range settingsOf(program) {
		values[s.name] = new(string)
		parser.String(values[s.name], "", s.flag(), s.help)
	}
	if err := parser.ParseArgs(args); err != nil {
		return arguments{}, errors.Trace(err)
	}
	for name, value := range values {
		if *value != "" {
			parsed.flagValues[name] = *value
		}
	}
	return parsed, nil
}

// FlagValues gives the values of the flags among arguments that Parse has read,
// by setting. They take precedence over the file on a reload too.
func FlagValues(program Program, args []string) map[string]string {
	// Parse gave the error, if there is one.
	parsed, _ := parseArguments(program, args)
	return parsed.flagValues
}
