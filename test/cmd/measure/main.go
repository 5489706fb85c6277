// Program measure plays one named run on fleets of several versions of the
// product, turn by turn, and prints medians with their spread.
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

func main() { os.Exit(run()) }

type metric struct {
	name  string
	value func(e2e.Result) float64
}

var metrics = []metric{
	{"longest gap without a kept write, ms", func(r e2e.Result) float64 { return r.LongestGapMS }},
	{"worst second, part of the median second", func(r e2e.Result) float64 { return r.WorstSecond }},
	{"single write p50, ms", func(r e2e.Result) float64 { return r.P50 }},
	{"single write p99, ms", func(r e2e.Result) float64 { return r.P99 }},
	{"spread of a change over fronts, ms", func(r e2e.Result) float64 { return r.SpreadMS }},
	{"broken rules", func(r e2e.Result) float64 { return float64(len(r.Violations)) }},
}

func run() int {
	name := flag.String("run", "steady", "the run, as e2e lists them")
	shapeName := flag.String("shape", "small", "magnolia, chile or small")
	versions := flag.String("versions", "", "git revisions with commas between; none for the tree as it is")
	repeat := flag.Int("repeat", 3, "turns of each version")
	root := flag.String("root", ".", "the workspace")
	scale := flag.Float64("scale", 1, "part of the deployment's load")
	flag.Parse()
	shape, found := e2e.Shapes()[*shapeName]
	at := slices.IndexFunc(e2e.Scenarios(), func(metric e2e.Scenario) bool { return metric.Name == *name })
	if !found || at < 0 || *repeat < 1 || *repeat > 50 {
		fmt.Fprintln(os.Stderr, "no such run or shape, or repeat not from 1 to 50")
		return 2
	}
	directory, err := os.MkdirTemp("", "seam-measure")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	revisions := strings.Split(*versions, ",")
	programs := map[string]e2e.Programs{}
	for _, version := range revisions {
		bin, err := build(*root, directory, version)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		programs[version] = e2e.Programs{Directory: bin}
	}
	results := map[string][]e2e.Result{}
	for round := range *repeat {
		for _, version := range revisions {
			result, err := e2e.RunScenario(e2e.Scenarios()[at], shape, programs[version], filepath.Join(directory, "run"), uint64(round+1), *scale)
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
				return 1
			}
			results[version] = append(results[version], result)
		}
	}
	fmt.Printf("%s on %s, %d turns each: median (least to most)\n", *name, shape.Name, *repeat)
	for _, metric := range metrics {
		fmt.Printf("  %-44s", metric.name)
		for _, version := range revisions {
			var values []float64
			for _, result := range results[version] {
				values = append(values, metric.value(result))
			}
			slices.Sort(values)
			fmt.Printf("  %s %.2f (%.2f to %.2f)", version, values[len(values)/2], values[0], values[len(values)-1])
		}
		fmt.Println()
	}
	return 0
}

func build(root, directory, version string) (string, error) {
	bin := filepath.Join(directory, "bin-"+strings.ReplaceAll(version, "/", "_"))
	if err := e2e.Build(root, bin, false); err != nil || version == "" {
		return bin, err
	}
	if err := e2e.BuildRevision(root, bin, version); err != nil {
		return bin, err
	}
	return bin, nil
}
