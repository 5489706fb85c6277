package main

import (
	"fmt"
	"os"
	"sync"

	"tansyseam/test/simulation"
)

// lines plays fleets of synced instances.
func runLineSeeds(from, count, replay uint64, jobs int, shapeName string, printPhases bool) int {
	size, known := map[string]simulation.LineConfig{"magnolia": simulation.SmallLineConfig(), "chile": simulation.LargeLineConfig()}[shapeName]
	if !known {
		fmt.Fprintln(os.Stderr, "no such shape")
		return 2
	}
	if replay != 0 {
		result := simulation.RunLines(replay, size, simulation.LineDefects{}, func(format string, parts ...any) { fmt.Printf(format+"\n", parts...) })
		printLineResult(result)
		return exitCode(len(result.Violations))
	}
	seeds := make(chan uint64)
	results := make(chan simulation.LineResult)
	var group sync.WaitGroup
	for range jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range seeds {
				results <- simulation.RunLines(seed, size, simulation.LineDefects{}, nil)
			}
		}()
	}
	go func() {
		for seed := from; seed < from+count; seed++ {
			seeds <- seed
		}
		close(seeds)
		group.Wait()
		close(results)
	}()
	broken, served, writes, terms := 0, 0, 0, uint64(0)
	met, codes := map[string]int{}, map[string]int{}
	for result := range results {
		for pair, times := range result.FaultPhases {
			met[pair] += times
		}
		for code, times := range result.FailureCodes {
			codes[code] += times
		}
		served, writes, terms = served+result.Served, writes+result.Writes, terms+result.Terms-1
		if len(result.Violations) > 0 {
			broken++
			printLineResult(result)
		}
	}
	if printPhases {
		printFaultPhasesOf(simulation.LineFaultNames(), met)
	}
	fmt.Printf("%d seeds of lines, %s, %d broken; %d operations served, %d writes kept, %d promotions; failures met by clients %v\n", count, shapeName, broken, served, writes, terms, codes)
	return exitCode(broken)
}

func printLineResult(result simulation.LineResult) {
	fmt.Printf("seed %d: served %d, writes kept %d, terms %d, history %.16s\n", result.Seed, result.Served, result.Writes, result.Terms, result.HistoryDigest)
	for rule, faults := range result.Violations {
		fmt.Printf("  %s: %d\n", rule, len(faults))
		for _, fault := range faults[:min(3, len(faults))] {
			fmt.Println("     ", fault)
		}
	}
}
