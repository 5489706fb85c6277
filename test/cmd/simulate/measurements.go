package main

import (
	"fmt"
	"strings"
	"time"

	"tansyseam/test/simulation"
)

// printAdmission runs the admission experiments, and prints a table with one row
// for each.
func printAdmission(seed uint64) {
	fmt.Println("| load | capacity/s | served/s | latency p50, p99 ms | queue time p50, p99 ms | windows at the end, by node | served, by node |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, load := range simulation.Loads() {
		result := simulation.RunAdmission(seed, load)
		windows, served := []string{}, []string{}
		for _, share := range result.Shares {
			windows = append(windows, fmt.Sprintf("%.1f", share.Window))
			served = append(served, fmt.Sprint(share.Served))
		}
		fmt.Printf("| %s | %.0f | %.0f | %s, %s | %s, %s | %s | %s |\n", result.Name, result.Capacity, result.Served,
			tenthsOfMilliseconds(result.Latency), tenthsOfMilliseconds(result.LatencyP99),
			tenthsOfMilliseconds(result.QueueTime), tenthsOfMilliseconds(result.QueueTimeP99),
			strings.Join(windows, " "), strings.Join(served, " "))
	}
}

// printControlFailover measures the failover of the control primary for each kind
// of loss, and prints a table of the times.
func printControlFailover(from, count uint64, config simulation.Config, jobs int) int {
	fmt.Println("| control servers | loss of the primary | time to the next primary: min, p50, p99, max ms | time to the next committed write: p50, p99, max ms | violations |")
	fmt.Println("|---|---|---|---|---|")
	total := 0
	for _, loss := range simulation.PrimaryLosses() {
		primacy, writes, violations := simulation.MeasureControlFailovers(from, count, config, loss, jobs)
		fmt.Printf("| %d | %s | %s | %s | %d |\n", config.Controls, loss.Name, quantiles(primacy, 0, 0.5, 0.99, 1), quantiles(writes, 0.5, 0.99, 1), violations)
		total += violations
	}
	return exitCode(total)
}

func quantiles(spans []time.Duration, fractions ...float64) string {
	var texts []string
	for _, fraction := range fractions {
		texts = append(texts, fmt.Sprintf("%.0f", milliseconds(simulation.Quantile(spans, fraction))))
	}
	return strings.Join(texts, ", ")
}

func tenthsOfMilliseconds(span time.Duration) string {
	return fmt.Sprintf("%.1f", milliseconds(span))
}

func milliseconds(span time.Duration) float64 { return span.Seconds() * 1000 }
