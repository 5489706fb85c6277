// Command modelcheck runs bounded model checks of the consensus machines and prints the
// results. It exits with status 1 if an invariant was violated.
package main

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"tansyseam/test/modelcheck"
)

const (
	allConfigs   = -1
	defaultRound = 100 * time.Millisecond
)

func main() {
	deep := flag.Bool("deep", false, "search the deeper shapes instead of those of the tests")
	only := flag.Int("shape", allConfigs, "search only the shape with this number (-1: all)")
	maxStates := flag.Int("most", 0, "maximum number of states of each search (0: no limit)")
	progress := flag.Int("progress", 0, "check in one of this many states that the cluster recovers (0: in none)")
	jobs := flag.Int("jobs", 2, "number of shapes searched concurrently")
	flag.Parse()
	configs := modelcheck.QuickConfigs()
	if *deep {
		configs = modelcheck.DeepConfigs()
	}
	for index := range configs {
		configs[index].ProgressInterval = *progress
	}
	if searchAll(configs, *only, *maxStates, *jobs) > 0 {
		os.Exit(1)
	}
}

// searchAll runs up to jobs searches concurrently and returns how many found a
// violation.
func searchAll(configs []modelcheck.Config, only, maxStates, jobs int) int {
	slots := make(chan struct{}, max(jobs, 1))
	var searches sync.WaitGroup
	var output sync.Mutex
	violated := 0
	for number, config := range configs {
		if only != allConfigs && number != only {
			continue
		}
		config.MaxStates = maxStates
		searches.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			startedAt := time.Now()
			result := modelcheck.Run(config)
			output.Lock()
			defer output.Unlock()
			report(number, config, result, time.Since(startedAt))
			if result.Violation != "" {
				violated++
			}
		})
	}
	searches.Wait()
	return violated
}

func report(number int, config modelcheck.Config, result modelcheck.Result, elapsed time.Duration) {
	fmt.Printf("shape %d: %s: %d states, %d steps, recovery checked in %d, epochs up to %d, %d writes acknowledged, ended early %t, %.1f s\n",
		number, describe(config), result.States, result.Steps, result.ProgressChecks, result.HighestEpoch, result.AckedWrites, result.Truncated, elapsed.Seconds())
	if result.Violation != "" {
		fmt.Println("  violated:", result.Violation)
		fmt.Println("    " + strings.Join(result.Trace, "\n    "))
	}
}

func describe(config modelcheck.Config) string {
	var faults []string
	for _, fault := range config.AllowedFaults {
		faults = append(faults, string(fault))
	}
	return fmt.Sprintf("%d voters, %d faults (%s; at %s), %d disks lost, %d rounds of %v",
		config.Voters, config.MaxFaults, listOrAny(faults), listOrAny(config.FaultHosts), config.MaxWipes,
		config.Rounds, cmp.Or(config.RoundDuration, defaultRound))
}

func listOrAny(names []string) string { return cmp.Or(strings.Join(names, ", "), "any") }
