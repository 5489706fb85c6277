// Command e2e runs fleets of real processes through scenarios and checks their
// histories. It exits with 0 if all runs pass, with 1 if a run fails or cannot be
// started, and with 2 if the arguments are invalid.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"tansyseam/test/e2e"
	"tansyseam/test/platforme2e"
)

// Exit codes.
const (
	exitSuccess = 0
	exitFailure = 1
	exitMisuse  = 2
)

func main() {
	os.Exit(runMain())
}

// options are the settings from the command line.
type options struct {
	shape      string
	scenarios  []string
	seed       uint64
	root       string
	directory  string
	scale      float64
	race       bool
	list       bool
	platform   bool
	otherBuild string
	// otherRevision, if given, is the revision from which the other build is compiled.
	otherRevision string
	otherFirst    bool
}

func parseOptions() options {
	var parsed options
	flag.StringVar(&parsed.shape, "shape", "small", "magnolia, chile or small")
	names := flag.String("run", "steady", "comma-separated scenarios, or all")
	flag.Uint64Var(&parsed.seed, "seed", 1, "seed of the callers")
	flag.StringVar(&parsed.root, "root", ".", "root of the source tree")
	flag.StringVar(&parsed.directory, "folder", "", "directory for logs and histories; a temporary one if empty")
	flag.Float64Var(&parsed.scale, "scale", 1, "factor by which the deployment's load is multiplied")
	flag.BoolVar(&parsed.race, "race", false, "build the programs with the race detector")
	flag.BoolVar(&parsed.list, "list", false, "list the scenarios")
	mode := flag.String("manner", "", "platform, to run the scenarios in platform mode")
	flag.StringVar(&parsed.otherBuild, "beside", "", "directory with tansyseam-proxy and tansyseam-control of another build, which every second process runs")
	flag.StringVar(&parsed.otherRevision, "beside-revision", "", "git revision to build for -beside; if the repository does not contain it, nothing is run")
	flag.BoolVar(&parsed.otherFirst, "other-first", false, "with -beside or -beside-revision: the first process of a kind runs the other build")
	flag.Parse()
	parsed.scenarios, parsed.platform = strings.Split(*names, ","), *mode != ""
	return parsed
}

// scenario is a scenario with or without platform mode.
type scenario struct {
	name, description string
	// run runs the scenario in a directory.
	run func(programs e2e.Programs, directory string) (result, error)
}

type result struct {
	passed bool
	print  func(io.Writer)
}

func runMain() int {
	opts := parseOptions()
	shape, found := e2e.Shapes()[opts.shape]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown shape; use magnolia, chile or small")
		return exitMisuse
	}
	scenarios := scenariosForMode(opts, shape)
	if opts.list {
		for _, scenario := range scenarios {
			fmt.Printf("%-15s %s\n", scenario.name, scenario.description)
		}
		return exitSuccess
	}
	selected, ok := selectScenarios(scenarios, opts.scenarios)
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario; see -list")
		return exitMisuse
	}
	directory, err := resultDirectory(opts.directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	programs, err := buildPrograms(opts, directory)
	if errors.Is(err, e2e.ErrNoRevision) {
		fmt.Println("skipped:", err)
		return exitSuccess
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return runScenarios(selected, programs, directory)
}

// buildPrograms builds the programs of this tree, and those of the other revision if one
// is given. The error is e2e.ErrNoRevision if the repository does not contain it.
func buildPrograms(opts options, directory string) (e2e.Programs, error) {
	programs := e2e.Programs{Directory: filepath.Join(directory, "bin"), OtherBuild: opts.otherBuild, OtherFirst: opts.otherFirst}
	if err := e2e.Build(opts.root, programs.Directory, opts.race); err != nil {
		return programs, err
	}
	if opts.otherRevision == "" {
		return programs, nil
	}
	programs.OtherBuild = filepath.Join(directory, "other-bin")
	return programs, e2e.BuildRevision(opts.root, programs.OtherBuild, opts.otherRevision)
}

func scenariosForMode(opts options, shape e2e.Shape) []scenario {
	var list []scenario
	if opts.platform {
		for _, definition := range platforme2e.Scenarios() {
			list = append(list, scenario{definition.Name, definition.Description, func(programs e2e.Programs, directory string) (result, error) {
				outcome, err := platforme2e.RunScenario(definition, opts.root, programs, directory, opts.seed)
				return result{len(outcome.Violations) == 0, outcome.Print}, err
			}})
		}
		return list
	}
	for _, definition := range e2e.Scenarios() {
		list = append(list, scenario{definition.Name, definition.Description, func(programs e2e.Programs, directory string) (result, error) {
			outcome, err := e2e.RunScenario(definition, shape, programs, directory, opts.seed, opts.scale)
			return result{len(outcome.Violations) == 0, outcome.Print}, err
		}})
	}
	return list
}

// selectScenarios returns the scenarios with the given names, or all scenarios if the
// names contain "all". It returns false if a name is not that of a scenario.
func selectScenarios(scenarios []scenario, names []string) ([]scenario, bool) {
	if slices.Contains(names, "all") {
		return scenarios, true
	}
	var selected []scenario
	for _, scenario := range scenarios {
		if slices.Contains(names, scenario.name) {
			selected = append(selected, scenario)
		}
	}
	return selected, len(selected) == len(names)
}

func resultDirectory(requested string) (string, error) {
	if requested != "" {
		return requested, nil
	}
	return os.MkdirTemp("", "tansyseam-e2e")
}

func runScenarios(scenarios []scenario, programs e2e.Programs, directory string) int {
	code := exitSuccess
	for _, scenario := range scenarios {
		outcome, err := scenario.run(programs, filepath.Join(directory, scenario.name))
		if err != nil {
			fmt.Printf("%s: could not be run: %v\n", scenario.name, err)
			code = exitFailure
			continue
		}
		outcome.print(os.Stdout)
		if !outcome.passed {
			code = exitFailure
		}
	}
	fmt.Println("logs and histories are in", directory)
	return code
}
