// Command measure runs one scenario alternately on fleets of several versions of
// the product. It prints the median, the minimum and the maximum of each metric.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"tansyseam/test/e2e"
)

const (
	exitSuccess = 0
	exitFailed  = 1
	exitUsage   = 2
)

const maxRounds = 50

func main() { os.Exit(runMain()) }

// metric is a named value of a result.
type metric struct {
	name  string
	value func(e2e.Result) float64
}

var metrics = []metric{
	{"longest gap without a committed write, ms", func(r e2e.Result) float64 { return r.LongestGapMS }},
	{"worst second, fraction of the median second", func(r e2e.Result) float64 { return r.WorstSecond }},
	{"single write p50, ms", func(r e2e.Result) float64 { return r.P50 }},
	{"single write p99, ms", func(r e2e.Result) float64 { return r.P99 }},
	{"spread of a change across proxies, ms", func(r e2e.Result) float64 { return r.SpreadMS }},
	{"broken rules", func(r e2e.Result) float64 { return float64(len(r.Violations)) }},
}

// options are the parsed command line options.
type options struct {
	scenario  e2e.Scenario
	shape     e2e.Shape
	revisions []string
	rounds    int
	root      string
	scale     float64
}

func parseOptions() (parsed options, ok bool) {
	name := flag.String("run", "steady", "scenario to run (e2e -list lists them)")
	shapeName := flag.String("shape", "small", "deployment shape: magnolia, chile or small")
	versions := flag.String("versions", "", "comma-separated git revisions; an empty one is the working tree")
	flag.IntVar(&parsed.rounds, "repeat", 3, "rounds per version, from 1 to 50")
	flag.StringVar(&parsed.root, "root", ".", "root directory of the source tree")
	flag.Float64Var(&parsed.scale, "scale", 1, "fraction of the deployment's load")
	flag.Parse()
	scenarios := e2e.Scenarios()
	index := slices.IndexFunc(scenarios, func(candidate e2e.Scenario) bool { return candidate.Name == *name })
	shape, found := e2e.Shapes()[*shapeName]
	if !found || index < 0 || parsed.rounds < 1 || parsed.rounds > maxRounds {
		return parsed, false
	}
	parsed.scenario, parsed.shape, parsed.revisions = scenarios[index], shape, strings.Split(*versions, ",")
	return parsed, true
}

func runMain() int {
	parsed, ok := parseOptions()
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown -run or -shape, or -repeat not between 1 and 50")
		return exitUsage
	}
	directory, err := os.MkdirTemp("", "tansyseam-measure")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(directory) }()
	results, err := parsed.measure(directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	parsed.print(results)
	return exitSuccess
}

// measure runs the scenario alternately on each revision.
func (o options) measure(directory string) (map[string][]e2e.Result, error) {
	programs := map[string]e2e.Programs{}
	for _, revision := range o.revisions {
		built, err := build(o.root, directory, revision)
		if err != nil {
			return nil, err
		}
		programs[revision] = e2e.Programs{Directory: built}
	}
	results := map[string][]e2e.Result{}
	for round := range o.rounds {
		for _, revision := range o.revisions {
			result, err := e2e.RunScenario(o.scenario, o.shape, programs[revision], filepath.Join(directory, "run"), uint64(round+1), o.scale)
			if err != nil {
				return nil, err
			}
			results[revision] = append(results[revision], result)
		}
	}
	return results, nil
}

func (o options) print(results map[string][]e2e.Result) {
	fmt.Printf("%s on %s, %d rounds each: median (minimum to maximum)\n", o.scenario.Name, o.shape.Name, o.rounds)
	for _, metric := range metrics {
		fmt.Printf("  %-44s", metric.name)
		for _, revision := range o.revisions {
			var values []float64
			for _, result := range results[revision] {
				values = append(values, metric.value(result))
			}
			slices.Sort(values)
			fmt.Printf("  %s %.2f (%.2f to %.2f)", revision, values[len(values)/2], values[0], values[len(values)-1])
		}
		fmt.Println()
	}
}

// build builds the programs of a revision and the stand-ins of the working tree,
// and returns their directory.
func build(root, directory, revision string) (string, error) {
	built := filepath.Join(directory, "bin-"+strings.ReplaceAll(revision, "/", "_"))
	if err := e2e.Build(root, built, false); err != nil || revision == "" {
		return built, err
	}
	return built, e2e.BuildRevision(root, built, revision)
}
