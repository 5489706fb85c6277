package config

import (
	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

// arguments holds the parsed command-line arguments of a program.
type arguments struct {
	// file is the path of the settings file, or empty if there is none.
	file string
	// checkOnly is true if the program exits after checking the configuration.
	checkOnly bool
	// flagValues holds the text of each setting that is given as a flag, by the
	// setting's name. A flag with an empty text counts as not given.
	flagValues map[string]string
}

// parseArguments parses the arguments of a program. If they ask for help or the
// version, or contain an unknown flag, flaggy ends the process.
func parseArguments(program Program, args []string) (arguments, error) {
	parser := flaggy.NewParser(string(program))
	parser.Description = descriptions[program]
	parser.Version = Version
	parsed := arguments{flagValues: map[string]string{}}
	parser.String(&parsed.file, "c", "config", "settings file (JSON)")
	parser.Bool(&parsed.checkOnly, "", "check", "check the settings, print every error, and exit")
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

// FlagValues returns the values of the flags in args, by setting. Parse must have
// accepted args before. The values take precedence over the file on a reload too.
func FlagValues(program Program, args []string) map[string]string {
	// The error is ignored: Parse has already returned it, if there is one.
	parsed, _ := parseArguments(program, args)
	return parsed.flagValues
}
