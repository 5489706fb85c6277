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
	shapes := modelcheck.Shapes()
	if *isDeeper {
		shapes = modelcheck.Deeper()
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
			shape.Most = *most
			began := time.Now()
			result := modelcheck.Run(shape)
			mutex.Lock()
			defer mutex.Unlock()
			fmt.Printf("shape %d: %s: %d states, %d steps, epochs up to %d, %d writes kept, ended early %t, %.1f s\n",
				at, describe(shape), result.States, result.Steps, result.Epochs, result.Acked, result.IsCut, time.Since(began).Seconds())
			if result.Fault != "" {
				broken++
				fmt.Println("  broken:", result.Fault)
				fmt.Println("    " + strings.Join(result.Course, "\n    "))
			}
		}()
	}
	group.Wait()
	if broken > 0 {
		return 1
	}
	return 0
}

func describe(shape modelcheck.Shape) string {
	kinds, places := "any", "any"
	if len(shape.Only) > 0 {
		kinds = strings.Join(shape.Only, ", ")
	}
	if len(shape.At) > 0 {
		places = strings.Join(shape.At, ", ")
	}
	return fmt.Sprintf("%d machines, %d faults (%s; at %s), %d disks lost, %d rounds of %v", shape.Machines, shape.Faults, kinds, places, shape.Wipes, shape.Rounds, max(shape.Round, 100*time.Millisecond))
}
