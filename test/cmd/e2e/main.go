// Program e2e runs fleets of real processes through scenarios and checks
// their histories.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"tansyseam/test/e2e"
	"tansyseam/test/platforme2e"
)

func main() {
	os.Exit(runMain())
}

func runMain() int {
	shapeName := flag.String("shape", "small", "magnolia, chile or small")
	runNames := flag.String("run", "steady", "scenarios with commas between, or all")
	seed := flag.Uint64("seed", 1, "seed of the callers")
	root := flag.String("root", ".", "the workspace")
	directoryFlag := flag.String("folder", "", "folder to leave logs in")
	scale := flag.Float64("scale", 1, "part of the deployment's load")
	race := flag.Bool("race", false, "build the programs with the race detector")
	list := flag.Bool("list", false, "list the scenarios")
	mode := flag.String("manner", "", "platform, for the scenarios in the manner of the users' platform")
	otherBuild := flag.String("beside", "", "folder with tansyseam-proxy and tansyseam-control of another build, which every second process runs")
	otherRevision := flag.String("beside-revision", "", "git revision to build for -beside; where the repository does not have it, nothing is played")
	otherFirst := flag.Bool("other-first", false, "with -beside or -beside-revision: the first process of a kind is of the other build")
	flag.Parse()
	if *list && *mode != "" {
		for _, scenario := range platforme2e.Scenarios() {
			fmt.Printf("%-15s %s\n", scenario.Name, scenario.Description)
		}
		return 0
	}
	if *list {
		for _, scenario := range e2e.Scenarios() {
			fmt.Printf("%-14s %s\n", scenario.Name, scenario.Description)
		}
		return 0
	}
	shape, found := e2e.Shapes()[*shapeName]
	if !found {
		fmt.Fprintln(os.Stderr, "no such shape")
		return 2
	}
	directory := *directoryFlag
	if directory == "" {
		temporary, err := os.MkdirTemp("", "seam")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		directory = temporary
	}
	programs := e2e.Programs{Directory: filepath.Join(directory, "bin"), OtherBuild: *otherBuild, OtherFirst: *otherFirst}
	if err := e2e.Build(*root, programs.Directory, *race); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if *otherRevision != "" {
		programs.OtherBuild = filepath.Join(directory, "other-bin")
		err := e2e.BuildRevision(*root, programs.OtherBuild, *otherRevision)
		if errors.Is(err, e2e.ErrNoRevision) {
			fmt.Println("skipped:", err)
			return 0
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	wanted := strings.Split(*runNames, ",")
	if *mode != "" {
		return runPlatformScenarios(wanted, *root, programs, directory, *seed)
	}
	broken, played := 0, 0
	for _, scenario := range e2e.Scenarios() {
		selected := *runNames == "all"
		for _, name := range wanted {
			selected = selected || name == scenario.Name
		}
		if !selected {
			continue
		}
		played++
		result, err := e2e.RunScenario(scenario, shape, programs, filepath.Join(directory, scenario.Name), *seed, *scale)
		if err != nil {
			fmt.Printf("%s on %s: could not be played: %v\n", scenario.Name, shape.Name, err)
			broken++
			continue
		}
		result.Print(os.Stdout)
		if len(result.Violations) > 0 {
			broken++
		}
	}
	if played == 0 {
		fmt.Fprintln(os.Stderr, "no such scenario; see -list")
		return 2
	}
	fmt.Println("logs and histories are in", directory)
	if broken > 0 {
		return 1
	}
	return 0
}

func runPlatformScenarios(wanted []string, root string, programs e2e.Programs, directory string, seed uint64) int {
	broken, played := 0, 0
	for _, scenario := range platforme2e.Scenarios() {
		if !slices.Contains(wanted, "all") && !slices.Contains(wanted, scenario.Name) {
			continue
		}
		played++
		result, err := platforme2e.RunScenario(scenario, root, programs, filepath.Join(directory, scenario.Name), seed)
		if err != nil {
			fmt.Printf("%s: could not be played: %v\n", scenario.Name, err)
			broken++
			continue
		}
		result.Print(os.Stdout)
		broken += min(len(result.Violations), 1)
	}
	if played < len(wanted) && !slices.Contains(wanted, "all") {
		fmt.Fprintln(os.Stderr, "not all of these are scenarios; see -list")
		return 2
	}
	fmt.Println("logs are in", directory)
	return min(broken, 1)
}
