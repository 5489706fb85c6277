// Program e2e runs fleets of real processes through scenarios and checks
// their histories.
package main

import (
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
	os.Exit(run())
}

func run() int {
	shapeName := flag.String("shape", "small", "magnolia, chile or small")
	names := flag.String("run", "steady", "scenarios with commas between, or all")
	seed := flag.Uint64("seed", 1, "seed of the callers")
	root := flag.String("root", ".", "the workspace")
	keep := flag.String("folder", "", "folder to leave logs in")
	scale := flag.Float64("scale", 1, "part of the deployment's load")
	isRace := flag.Bool("race", false, "build the programs with the race detector")
	isList := flag.Bool("list", false, "list the scenarios")
	manner := flag.String("manner", "", "platform, for the scenarios in the manner of the users' platform")
	beside := flag.String("beside", "", "folder with tansyseam-proxy and tansyseam-control of another build, which every second process runs")
	isOtherFirst := flag.Bool("other-first", false, "with -beside: the first process of a kind is of the other build")
	flag.Parse()
	if *isList && *manner != "" {
		for _, scenario := range platforme2e.Scenarios() {
			fmt.Printf("%-15s %s\n", scenario.Name, scenario.About)
		}
		return 0
	}
	if *isList {
		for _, scenario := range e2e.Scenarios() {
			fmt.Printf("%-14s %s\n", scenario.Name, scenario.About)
		}
		return 0
	}
	shape, isKnown := e2e.Shapes()[*shapeName]
	if !isKnown {
		fmt.Fprintln(os.Stderr, "no such shape")
		return 2
	}
	folder := *keep
	if folder == "" {
		made, err := os.MkdirTemp("", "seam")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		folder = made
	}
	programs := e2e.Programs{Folder: filepath.Join(folder, "bin"), Beside: *beside, OtherFirst: *isOtherFirst}
	if err := e2e.Build(*root, programs.Folder, *isRace); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	wanted := strings.Split(*names, ",")
	if *manner != "" {
		return tryAll(wanted, *root, programs, folder, *seed)
	}
	broken, played := 0, 0
	for _, scenario := range e2e.Scenarios() {
		isWanted := *names == "all"
		for _, name := range wanted {
			isWanted = isWanted || name == scenario.Name
		}
		if !isWanted {
			continue
		}
		played++
		result, err := e2e.Play(scenario, shape, programs, filepath.Join(folder, scenario.Name), *seed, *scale)
		if err != nil {
			fmt.Printf("%s on %s: could not be played: %v\n", scenario.Name, shape.Name, err)
			broken++
			continue
		}
		result.Print(os.Stdout)
		if len(result.Faults) > 0 {
			broken++
		}
	}
	if played == 0 {
		fmt.Fprintln(os.Stderr, "no such scenario; see -list")
		return 2
	}
	fmt.Println("logs and histories are in", folder)
	if broken > 0 {
		return 1
	}
	return 0
}

func tryAll(wanted []string, root string, programs e2e.Programs, folder string, seed uint64) int {
	broken, played := 0, 0
	for _, scenario := range platforme2e.Scenarios() {
		if !slices.Contains(wanted, "all") && !slices.Contains(wanted, scenario.Name) {
			continue
		}
		played++
		result, err := platforme2e.Play(scenario, root, programs, filepath.Join(folder, scenario.Name), seed)
		if err != nil {
			fmt.Printf("%s: could not be played: %v\n", scenario.Name, err)
			broken++
			continue
		}
		result.Print(os.Stdout)
		broken += min(len(result.Faults), 1)
	}
	if played < len(wanted) && !slices.Contains(wanted, "all") {
		fmt.Fprintln(os.Stderr, "not all of these are scenarios; see -list")
		return 2
	}
	fmt.Println("logs are in", folder)
	return min(broken, 1)
}
