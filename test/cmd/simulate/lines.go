package main

import (
	"fmt"
	"os"
	"sync"

	"tansyseam/test/simulation"
)

// lines plays fleets of synced instances.
func lines(from, count, replay uint64, jobs int, shapeName string, isMet bool) int {
	size, isKnown := map[string]simulation.LineShape{"magnolia": simulation.SmallLines(), "chile": simulation.LargeLines()}[shapeName]
	if !isKnown {
		fmt.Fprintln(os.Stderr, "no such shape")
		return 2
	}
	if replay != 0 {
		result := simulation.RunLines(replay, size, simulation.LinePlant{}, func(format string, parts ...any) { fmt.Printf(format+"\n", parts...) })
		showLines(result)
		return verdict(len(result.Faults))
	}
	seeds := make(chan uint64)
	results := make(chan simulation.LineResult)
	var group sync.WaitGroup
	for range jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range seeds {
				results <- simulation.RunLines(seed, size, simulation.LinePlant{}, nil)
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
		for pair, times := range result.Met {
			met[pair] += times
		}
		for code, times := range result.Codes {
			codes[code] += times
		}
		served, writes, terms = served+result.Served, writes+result.Writes, terms+result.Terms-1
		if len(result.Faults) > 0 {
			broken++
			showLines(result)
		}
	}
	if isMet {
		showMetOf(simulation.LineTroubleNames(), met)
	}
	fmt.Printf("%d seeds of lines, %s, %d broken; %d operations served, %d writes kept, %d promotions; failures met by clients %v\n", count, shapeName, broken, served, writes, terms, codes)
	return verdict(broken)
}

func showLines(result simulation.LineResult) {
	fmt.Printf("seed %d: served %d, writes kept %d, terms %d, history %.16s\n", result.Seed, result.Served, result.Writes, result.Terms, result.Trace)
	for rule, faults := range result.Faults {
		fmt.Printf("  %s: %d\n", rule, len(faults))
		for _, fault := range faults[:min(3, len(faults))] {
			fmt.Println("     ", fault)
		}
	}
}
