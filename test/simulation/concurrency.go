package simulation

import "sync"

// runConcurrently executes count independent runs, at most jobs of them at once,
// and returns their results in the order of the index.
func runConcurrently[T any](count uint64, jobs int, run func(index uint64) T) []T {
	results := make([]T, count)
	slots := make(chan struct{}, jobs)
	var group sync.WaitGroup
	for index := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			results[index] = run(index)
		}()
	}
	group.Wait()
	return results
}
