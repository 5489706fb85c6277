package main

import (
	"fmt"
	"strings"

	"tansyseam/test/simulation"
)

// maxPrintedViolations limits the violations that are printed of one rule for one
// seed.
const maxPrintedViolations = 3

// summarize runs fleets of instances that push their positions, and prints the
// seeds that violate a rule and the totals.
func summarize(o options, config simulation.Config) int {
	violatingSeeds, writes, reads, promotions, epochs := 0, 0, 0, uint64(0), uint64(0)
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
			violatingSeeds++
			printResult(result)
		}
	}
	if o.printPhases {
		printFaultPhases(simulation.FaultNames(), faultPhases)
	}
	fmt.Printf("%d seeds of %s, %d violated a rule; %d writes committed, %d reads, %d promotions, %d epochs\n", o.count, o.shape, violatingSeeds, writes, reads, promotions, epochs)
	return exitCode(violatingSeeds)
}

// summarizeLines runs fleets of line sessions, and prints the seeds that violate
// a rule and the totals.
func summarizeLines(o options, config simulation.LineConfig) int {
	violatingSeeds, served, writes, promotions := 0, 0, 0, uint64(0)
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
			violatingSeeds++
			printLineResult(result)
		}
	}
	if o.printPhases {
		printFaultPhases(simulation.LineFaultNames(), faultPhases)
	}
	fmt.Printf("%d seeds of lines, %s, %d violated a rule; %d operations served, %d writes committed, %d promotions; failures of client queries by code %v\n", o.count, o.shape, violatingSeeds, served, writes, promotions, failureCodes)
	return exitCode(violatingSeeds)
}

func addCounts(totals, counts map[string]int) {
	for key, count := range counts {
		totals[key] += count
	}
}

func printResult(result simulation.Result) {
	fmt.Printf("seed %d: writes committed %d, reads %d, terms %d, epochs %d, history %.16s\n", result.Seed, result.Writes, result.Reads, result.Terms, result.Epochs, result.HistoryDigest)
	printViolations(result.Violations)
}

func printLineResult(result simulation.LineResult) {
	fmt.Printf("seed %d: served %d, writes committed %d, terms %d, history %.16s\n", result.Seed, result.Served, result.Writes, result.Terms, result.HistoryDigest)
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
