package main

import (
	"fmt"
	"os"
	"sync"

	"tansyseam/test/simulation"
)

// digests prints the digest of the history of each seed, in the order of the
// seeds. Two builds that decide alike print the same.
func digests(from, count uint64, mode, shapeName string, jobs int) int {
	digest, err := simulation.DigestOf(mode, shapeName)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	found := make([]string, count)
	places := make(chan uint64)
	var group sync.WaitGroup
	for range jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			for place := range places {
				found[place] = digest(from + place)
			}
		}()
	}
	for place := range count {
		places <- place
	}
	close(places)
	group.Wait()
	for place, one := range found {
		fmt.Println(mode, shapeName, from+uint64(place), one)
	}
	return 0
}
