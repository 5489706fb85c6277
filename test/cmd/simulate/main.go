// Program simulate runs the simulator over many seeds, prints those that
// fail, and replays one with its whole history.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"tansyseam/test/simulation"
)

func main() { os.Exit(run()) }

func run() int {
	from := flag.Uint64("from", 1, "first seed")
	count := flag.Uint64("count", 100, "number of seeds")
	shapeName := flag.String("shape", "magnolia", "magnolia or chile")
	replay := flag.Uint64("replay", 0, "replay this one seed, with its history")
	mode := flag.String("manner", "json", "json for back ends that push positions, lines for synced instances")
	jobs := flag.Int("jobs", runtime.NumCPU(), "seeds played at once")
	printPhases := flag.Bool("met", false, "print how often each trouble met each phase")
	admissionMode := flag.Bool("admission", false, "play the admission experiments and print their table")
	isDigests := flag.Bool("digests", false, "print the digest of each seed's history, by which two builds are compared")
	failoverMode := flag.Bool("takeover", false, "lose control's primary in each way, over the seeds, and print how long it takes")
	flag.Parse()
	if *isDigests {
		return digests(*from, *count, *mode, *shapeName, *jobs)
	}
	if *admissionMode {
		printAdmission(*from)
		return 0
	}
	if *mode == "lines" {
		return runLineSeeds(*from, *count, *replay, *jobs, *shapeName, *printPhases)
	}
	shape, known := map[string]simulation.Config{"magnolia": simulation.SmallConfig(), "chile": simulation.LargeConfig()}[*shapeName]
	if !known {
		fmt.Fprintln(os.Stderr, "no such shape")
		return 2
	}
	if *failoverMode {
		return printControlFailover(*from, *count, shape, *jobs)
	}
	if *replay != 0 {
		result := simulation.Run(*replay, shape, simulation.Defects{}, func(format string, parts ...any) { fmt.Printf(format+"\n", parts...) })
		printResult(result)
		return exitCode(len(result.Violations))
	}
	seeds := make(chan uint64)
	results := make(chan simulation.Result)
	var group sync.WaitGroup
	for range *jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range seeds {
				results <- simulation.Run(seed, shape, simulation.Defects{}, nil)
			}
		}()
	}
	go func() {
		for seed := *from; seed < *from+*count; seed++ {
			seeds <- seed
		}
		close(seeds)
		group.Wait()
		close(results)
	}()
	broken, kept, reads, terms, epochs := 0, 0, 0, uint64(0), uint64(0)
	met := map[string]int{}
	for result := range results {
		for pair, times := range result.FaultPhases {
			met[pair] += times
		}
		kept, reads = kept+result.Writes, reads+result.Reads
		terms, epochs = terms+result.Terms-1, epochs+result.Epochs
		if len(result.Violations) > 0 {
			broken++
			printResult(result)
		}
	}
	if *printPhases {
		printFaultPhases(met)
	}
	fmt.Printf("%d seeds of %s, %d broken; %d writes kept, %d reads, %d promotions, %d epochs\n", *count, *shapeName, broken, kept, reads, terms, epochs)
	return exitCode(broken)
}

func printFaultPhases(met map[string]int) { printFaultPhasesOf(simulation.FaultNames(), met) }

func printFaultPhasesOf(names []string, met map[string]int) {
	fmt.Println("| trouble | " + strings.Join(simulation.Phases, " | ") + " |")
	fmt.Println("|---|" + strings.Repeat("---|", len(simulation.Phases)))
	for _, name := range names {
		row := "| " + name
		for _, phase := range simulation.Phases {
			row += fmt.Sprintf(" | %d", met[name+" / "+phase])
		}
		fmt.Println(row + " |")
	}
}

func exitCode(broken int) int {
	if broken > 0 {
		return 1
	}
	return 0
}

func printResult(result simulation.Result) {
	fmt.Printf("seed %d: kept %d, reads %d, terms %d, epochs %d, history %.16s\n", result.Seed, result.Writes, result.Reads, result.Terms, result.Epochs, result.HistoryDigest)
	for rule, faults := range result.Violations {
		fmt.Printf("  %s: %d\n", rule, len(faults))
		for _, fault := range faults[:min(3, len(faults))] {
			fmt.Println("     ", fault)
		}
	}
}

func printAdmission(seed uint64) {
	fmt.Println("| load | capacity/s | served/s | latency p50, p99 ms | wait p50, p99 ms | windows at the end, by node | served, by node |")
	fmt.Println("|---|---|---|---|---|---|---|")
	ms := func(span time.Duration) string { return fmt.Sprintf("%.1f", span.Seconds()*1000) }
	for _, load := range simulation.Loads() {
		o := simulation.RunAdmission(seed, load)
		windows, served := []string{}, []string{}
		for _, share := range o.Shares {
			windows = append(windows, fmt.Sprintf("%.1f", share.Window))
			served = append(served, fmt.Sprint(share.Served))
		}
		fmt.Printf("| %s | %.0f | %.0f | %s, %s | %s, %s | %s | %s |\n", o.Name, o.Capacity, o.Served, ms(o.Latency), ms(o.LatencyP99), ms(o.QueueTime), ms(o.QueueTimeP99), strings.Join(windows, " "), strings.Join(served, " "))
	}
}

func printControlFailover(from, count uint64, shape simulation.Config, jobs int) int {
	fmt.Println("| control machines | primary lost by | another has primacy: least, p50, p99, most ms | a write is kept: p50, p99, most ms | faults |")
	fmt.Println("|---|---|---|---|---|")
	ms := func(span time.Duration) string { return fmt.Sprintf("%.0f", span.Seconds()*1000) }
	broken := 0
	for _, loss := range simulation.PrimaryLosses() {
		primacy, kept, faults := simulation.MeasureControlFailovers(from, count, shape, loss, jobs)
		at := func(spans []time.Duration, q float64) string { return ms(simulation.Quantile(spans, q)) }
		fmt.Printf("| %d | %s | %s, %s, %s, %s | %s, %s, %s | %d |\n", shape.Controls, loss.Name,
			at(primacy, 0), at(primacy, 0.5), at(primacy, 0.99), at(primacy, 1), at(kept, 0.5), at(kept, 0.99), at(kept, 1), faults)
		broken += faults
	}
	return exitCode(broken)
}
