package main

import (
	"fmt"
	"os"

	"tansyseam/test/simulation"
)

// printDigests prints the digest of the history of each seed, in the order of
// the seeds. Two builds that make the same decisions print the same digests.
func printDigests(o options) int {
	digest, err := simulation.DigestOf(o.mode, o.shape)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	digests := make([]string, o.count)
	for result := range playSeeds(o.from, o.count, o.jobs, digest) {
		digests[result.seed-o.from] = result.value
	}
	for index, digest := range digests {
		fmt.Println(o.mode, o.shape, o.from+uint64(index), digest)
	}
	return 0
}
