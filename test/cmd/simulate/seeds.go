package main

import "sync"

// seedResult is the result of one seed.
type seedResult[T any] struct {
	seed  uint64
	value T
}

// playSeeds runs consecutive seeds, at most jobs of them concurrently, and
// returns a channel that receives each result when it is available.
func playSeeds[T any](from, count uint64, jobs int, play func(seed uint64) T) <-chan seedResult[T] {
	seeds := make(chan uint64)
	results := make(chan seedResult[T])
	var group sync.WaitGroup
	for range jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range seeds {
				results <- seedResult[T]{seed, play(seed)}
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
	return results
}
