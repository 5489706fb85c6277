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
	manner := flag.String("manner", "json", "json for back ends that push positions, lines for synced instances")
	jobs := flag.Int("jobs", runtime.NumCPU(), "seeds played at once")
	isMet := flag.Bool("met", false, "print how often each trouble met each phase")
	isAdmission := flag.Bool("admission", false, "play the admission experiments and print their table")
	isDigests := flag.Bool("digests", false, "print the digest of each seed's history, by which two builds are compared")
	isTakeover := flag.Bool("takeover", false, "lose control's primary in each way, over the seeds, and print how long it takes")
	flag.Parse()
	if *isDigests {
		return digests(*from, *count, *manner, *shapeName, *jobs)
	}
	if *isAdmission {
		admission(*from)
		return 0
	}
	if *manner == "lines" {
		return lines(*from, *count, *replay, *jobs, *shapeName, *isMet)
	}
	shape, isKnown := map[string]simulation.Shape{"magnolia": simulation.Magnolia(), "chile": simulation.Chile()}[*shapeName]
	if !isKnown {
		fmt.Fprintln(os.Stderr, "no such shape")
		return 2
	}
	if *isTakeover {
		return takeover(*from, *count, shape, *jobs)
	}
	if *replay != 0 {
		result := simulation.Run(*replay, shape, simulation.Plant{}, func(format string, parts ...any) { fmt.Printf(format+"\n", parts...) })
		show(result)
		return verdict(len(result.Faults))
	}
	seeds := make(chan uint64)
	results := make(chan simulation.Result)
	var group sync.WaitGroup
	for range *jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range seeds {
				results <- simulation.Run(seed, shape, simulation.Plant{}, nil)
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
		for pair, times := range result.Met {
			met[pair] += times
		}
		kept, reads = kept+result.Kept, reads+result.Reads
		terms, epochs = terms+result.Terms-1, epochs+result.Epochs
		if len(result.Faults) > 0 {
			broken++
			show(result)
		}
	}
	if *isMet {
		showMet(met)
	}
	fmt.Printf("%d seeds of %s, %d broken; %d writes kept, %d reads, %d promotions, %d epochs\n", *count, *shapeName, broken, kept, reads, terms, epochs)
	return verdict(broken)
}

func showMet(met map[string]int) { showMetOf(simulation.TroubleNames(), met) }

func showMetOf(names []string, met map[string]int) {
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

func verdict(broken int) int {
	if broken > 0 {
		return 1
	}
	return 0
}

func show(result simulation.Result) {
	fmt.Printf("seed %d: kept %d, reads %d, terms %d, epochs %d, history %.16s\n", result.Seed, result.Kept, result.Reads, result.Terms, result.Epochs, result.Trace)
	for rule, faults := range result.Faults {
		fmt.Printf("  %s: %d\n", rule, len(faults))
		for _, fault := range faults[:min(3, len(faults))] {
			fmt.Println("     ", fault)
		}
	}
}

func admission(seed uint64) {
	fmt.Println("| load | capacity/s | served/s | latency p50, p99 ms | wait p50, p99 ms | windows at the end, by node | served, by node |")
	fmt.Println("|---|---|---|---|---|---|---|")
	ms := func(span time.Duration) string { return fmt.Sprintf("%.1f", span.Seconds()*1000) }
	for _, load := range simulation.Loads() {
		o := simulation.Admit(seed, load)
		windows, served := []string{}, []string{}
		for _, share := range o.Shares {
			windows = append(windows, fmt.Sprintf("%.1f", share.Window))
			served = append(served, fmt.Sprint(share.Served))
		}
		fmt.Printf("| %s | %.0f | %.0f | %s, %s | %s, %s | %s | %s |\n", o.Name, o.Capacity, o.Served, ms(o.Latency), ms(o.LatencyP99), ms(o.Wait), ms(o.WaitP99), strings.Join(windows, " "), strings.Join(served, " "))
	}
}

func takeover(from, count uint64, shape simulation.Shape, jobs int) int {
	fmt.Println("| control machines | primary lost by | another has primacy: least, p50, p99, most ms | a write is kept: p50, p99, most ms | faults |")
	fmt.Println("|---|---|---|---|---|")
	ms := func(span time.Duration) string { return fmt.Sprintf("%.0f", span.Seconds()*1000) }
	broken := 0
	for _, loss := range simulation.Losses() {
		primacy, kept, faults := simulation.MeasureTakeovers(from, count, shape, loss, jobs)
		at := func(spans []time.Duration, q float64) string { return ms(simulation.Quantile(spans, q)) }
		fmt.Printf("| %d | %s | %s, %s, %s, %s | %s, %s, %s | %d |\n", shape.Controls, loss.Name,
			at(primacy, 0), at(primacy, 0.5), at(primacy, 0.99), at(primacy, 1), at(kept, 0.5), at(kept, 0.99), at(kept, 1), faults)
		broken += faults
	}
	return verdict(broken)
}
