// Program search plays control's epoch machines through every course of events
// within bounds, and prints what it met.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"tansyseam/test/modelcheck"
)

func main() { os.Exit(run()) }

func run() int {
	isDeeper := flag.Bool("deep", false, "the deeper shapes, in place of those of the tests")
	only := flag.Int("shape", -1, "only the shape of this number")
	most := flag.Int("most", 0, "end each search after so many states, where given")
	jobs := flag.Int("jobs", 2, "shapes searched at once")
	flag.Parse()
	shapes := modelcheck.TestConfigs()
	if *isDeeper {
		shapes = modelcheck.DeepConfigs()
	}
	slots := make(chan struct{}, max(*jobs, 1))
	var group sync.WaitGroup
	var mutex sync.Mutex
	broken := 0
	for at, shape := range shapes {
		if *only >= 0 && at != *only {
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			shape.MaxStates = *most
			began := time.Now()
			result := modelcheck.Run(shape)
			mutex.Lock()
			defer mutex.Unlock()
			fmt.Printf("shape %d: %s: %d states, %d steps, epochs up to %d, %d writes kept, ended early %t, %.1f s\n",
				at, describe(shape), result.States, result.Steps, result.HighestEpoch, result.AckedWrites, result.Truncated, time.Since(began).Seconds())
			if result.Violation != "" {
				broken++
				fmt.Println("  broken:", result.Violation)
				fmt.Println("    " + strings.Join(result.Trace, "\n    "))
			}
		}()
	}
	group.Wait()
	if broken > 0 {
		return 1
	}
	return 0
}

func describe(shape modelcheck.Config) string {
	kinds, places := "any", "any"
	if len(shape.AllowedFaults) > 0 {
		kinds = strings.Join(shape.AllowedFaults, ", ")
	}
	if len(shape.FaultHosts) > 0 {
		places = strings.Join(shape.FaultHosts, ", ")
	}
	return fmt.Sprintf("%d machines, %d faults (%s; at %s), %d disks lost, %d rounds of %v", shape.Machines, shape.MaxFaults, kinds, places, shape.MaxWipes, shape.Rounds, max(shape.RoundDuration, 100*time.Millisecond))
}
