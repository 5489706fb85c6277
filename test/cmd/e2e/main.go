// Command e2e runs fleets of real processes through scenarios and checks their
// histories. It ends with 0 where all runs are good, 1 where one is not, and 2
// where it was misused.
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
	exitGood   = 0
	exitBroken = 1
	exitMisuse = 2
)

func main() {
	os.Exit(runMain())
}

// options are what the command line gives.
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
	// otherRevision, if given, is built to be the other build.
	otherRevision string
	otherFirst    bool
}

func parseOptions() options {
	var given options
	flag.StringVar(&given.shape, "shape", "small", "magnolia, chile or small")
	names := flag.String("run", "steady", "scenarios with commas between, or all")
	flag.Uint64Var(&given.seed, "seed", 1, "seed of the callers")
	flag.StringVar(&given.root, "root", ".", "the workspace")
	flag.StringVar(&given.directory, "folder", "", "folder to leave logs in")
	flag.Float64Var(&given.scale, "scale", 1, "part of the deployment's load")
	flag.BoolVar(&given.race, "race", false, "build the programs with the race detector")
	flag.BoolVar(&given.list, "list", false, "list the scenarios")
	mode := flag.String("manner", "", "platform, for the scenarios in platform mode")
	flag.StringVar(&given.otherBuild, "beside", "", "folder with tansyseam-proxy and tansyseam-control of another build, which every second process runs")
	flag.StringVar(&given.otherRevision, "beside-revision", "", "git revision to build for -beside; where the repository does not have it, nothing is played")
	flag.BoolVar(&given.otherFirst, "other-first", false, "with -beside or -beside-revision: the first process of a kind is of the other build")
	flag.Parse()
	given.scenarios, given.platform = strings.Split(*names, ","), *mode != ""
	return given
}

// scenario is a scenario of either mode.
type scenario struct {
	name, description string
	// run plays the scenario in a directory.
	run func(programs e2e.Programs, directory string) (result, error)
}

type result struct {
	good  bool
	print func(io.Writer)
}

func runMain() int {
	given := parseOptions()
	shape, found := e2e.Shapes()[given.shape]
	if !found {
		fmt.Fprintln(os.Stderr, "no such shape")
		return exitMisuse
	}
	scenarios := scenariosOf(given, shape)
	if given.list {
		for _, scenario := range scenarios {
			fmt.Printf("%-15s %s\n", scenario.name, scenario.description)
		}
		return exitGood
	}
	selected, ok := selectScenarios(scenarios, given.scenarios)
	if !ok {
		fmt.Fprintln(os.Stderr, "not all of these are scenarios; see -list")
		return exitMisuse
	}
	directory, err := resultDirectory(given.directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBroken
	}
	programs, err := buildPrograms(given, directory)
	if errors.Is(err, e2e.ErrNoRevision) {
		fmt.Println("skipped:", err)
		return exitGood
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitBroken
	}
	return runScenarios(selected, programs, directory)
}

// buildPrograms builds the programs of this tree, and those of the other revision where
// one is given. The error is e2e.ErrNoRevision where the repository does not have it.
func buildPrograms(given options, directory string) (e2e.Programs, error) {
	programs := e2e.Programs{Directory: filepath.Join(directory, "bin"), OtherBuild: given.otherBuild, OtherFirst: given.otherFirst}
	if err := e2e.Build(given.root, programs.Directory, given.race); err != nil {
		return programs, err
	}
	if given.otherRevision == "" {
		return programs, nil
	}
	programs.OtherBuild = filepath.Join(directory, "other-bin")
	return programs, e2e.BuildRevision(given.root, programs.OtherBuild, given.otherRevision)
}

func scenariosOf(given options, shape e2e.Shape) []scenario {
	var list []scenario
	if given.platform {
		for _, played := range platforme2e.Scenarios() {
			list = append(list, scenario{played.Name, played.Description, func(programs e2e.Programs, directory string) (result, error) {
				outcome, err := platforme2e.RunScenario(played, given.root, programs, directory, given.seed)
				return result{len(outcome.Violations) == 0, outcome.Print}, err
			}})
		}
		return list
	}
	for _, played := range e2e.Scenarios() {
		list = append(list, scenario{played.Name, played.Description, func(programs e2e.Programs, directory string) (result, error) {
			outcome, err := e2e.RunScenario(played, shape, programs, directory, given.seed, given.scale)
			return result{len(outcome.Violations) == 0, outcome.Print}, err
		}})
	}
	return list
}

// selectScenarios returns the scenarios of some names, or all; false where a
// name is not a scenario's.
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

func resultDirectory(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	return os.MkdirTemp("", "tansyseam-e2e")
}

func runScenarios(scenarios []scenario, programs e2e.Programs, directory string) int {
	code := exitGood
	for _, scenario := range scenarios {
		outcome, err := scenario.run(programs, filepath.Join(directory, scenario.name))
		if err != nil {
			fmt.Printf("%s: could not be played: %v\n", scenario.name, err)
			code = exitBroken
			continue
		}
		outcome.print(os.Stdout)
		if !outcome.good {
			code = exitBroken
		}
	}
	fmt.Println("logs and histories are in", directory)
	return code
}
