package main

import (
	"fmt"
	"strings"

	"tansyseam/test/simulation"
)

// maxPrintedViolations bounds what is printed of one rule for one seed.
const maxPrintedViolations = 3

// summarize plays fleets of back ends that push positions, prints the seeds
// that break a rule, and the totals.
func summarize(o options, config simulation.Config) int {
	broken, writes, reads, promotions, epochs := 0, 0, 0, uint64(0), uint64(0)
	faultPhases := map[string]int{}
	results := playSeeds(o.from, o.count, o.jobs, func(seed uint64) simulation.Result {
		return simulation.Run(seed, config, simulation.Defects{}, nil)
	})
	for played := range results {
		result := played.value
		addCounts(faultPhases, result.FaultPhases)
		writes += result.Writes
		reads += result.Reads
		promotions += result.Terms - 1
		epochs += result.Epochs
		if len(result.Violations) > 0 {
			broken++
			printResult(result)
		}
	}
	if o.printPhases {
		printFaultPhases(simulation.FaultNames(), faultPhases)
	}
	fmt.Printf("%d seeds of %s, %d broken; %d writes kept, %d reads, %d promotions, %d epochs\n", o.count, o.shape, broken, writes, reads, promotions, epochs)
	return exitCode(broken)
}

// summarizeLines does the same for fleets of line sessions.
func summarizeLines(o options, config simulation.LineConfig) int {
	broken, served, writes, promotions := 0, 0, 0, uint64(0)
	faultPhases, failureCodes := map[string]int{}, map[string]int{}
	results := playSeeds(o.from, o.count, o.jobs, func(seed uint64) simulation.LineResult {
		return simulation.RunLines(seed, config, simulation.LineDefects{}, nil)
	})
	for played := range results {
		result := played.value
		addCounts(faultPhases, result.FaultPhases)
		addCounts(failureCodes, result.FailureCodes)
		served += result.Served
		writes += result.Writes
		promotions += result.Terms - 1
		if len(result.Violations) > 0 {
			broken++
			printLineResult(result)
		}
	}
	if o.printPhases {
		printFaultPhases(simulation.LineFaultNames(), faultPhases)
	}
	fmt.Printf("%d seeds of lines, %s, %d broken; %d operations served, %d writes kept, %d promotions; failures met by clients %v\n", o.count, o.shape, broken, served, writes, promotions, failureCodes)
	return exitCode(broken)
}

func addCounts(totals, counts map[string]int) {
	for key, count := range counts {
		totals[key] += count
	}
}

func printResult(result simulation.Result) {
	fmt.Printf("seed %d: kept %d, reads %d, terms %d, epochs %d, history %.16s\n", result.Seed, result.Writes, result.Reads, result.Terms, result.Epochs, result.HistoryDigest)
	printViolations(result.Violations)
}

func printLineResult(result simulation.LineResult) {
	fmt.Printf("seed %d: served %d, writes kept %d, terms %d, history %.16s\n", result.Seed, result.Served, result.Writes, result.Terms, result.HistoryDigest)
	printViolations(result.Violations)
}

func printViolations(byRule map[string][]string) {
	for rule, violations := range byRule {
		fmt.Printf("  %s: %d\n", rule, len(violations))
		for _, violation := range violations[:min(maxPrintedViolations, len(violations))] {
			fmt.Println("     ", violation)
		}
	}
}

func printFaultPhases(names []string, counts map[string]int) {
	fmt.Println("| fault | " + strings.Join(simulation.Phases, " | ") + " |")
	fmt.Println("|---|" + strings.Repeat("---|", len(simulation.Phases)))
	for _, name := range names {
		row := "| " + name
		for _, phase := range simulation.Phases {
			row += fmt.Sprintf(" | %d", counts[name+" / "+phase])
		}
		fmt.Println(row + " |")
	}
}
