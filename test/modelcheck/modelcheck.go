// Package modelcheck is a bounded model checker for package consensus. It runs the real
// machines of a small cluster through every sequence of events within given bounds, and
// checks invariants after each event.
//
// Time moves in rounds: in a round each node has a tick, and all messages are
// delivered. At any point a fault may happen instead, or in between, up to a number of
// faults; faults.go lists them. The search is depth first and deterministic. States are
// compared by the hash of all that a machine's further behaviour depends on (encode.go),
// so that one reached again is not searched again.
package modelcheck

import (
	"cmp"
	"time"
)

// defaultRound is how long a round lasts where the Config does not say.
const defaultRound = 100 * time.Millisecond

// Result is the outcome of a search.
type Result struct {
	// States counts the distinct states, Steps those that were reached.
	States, Steps int
	// HighestEpoch is the highest epoch decided, AckedWrites the most writes that were
	// acknowledged in one state.
	HighestEpoch uint64
	AckedWrites  int
	// Truncated says that the search ended at Config.MaxStates.
	Truncated bool
	// Violation is the first invariant that did not hold, empty where all did, and
	// Trace the events that led to it.
	Violation string
	Trace     []string
}

// budget is what a search from a state may still use.
type budget struct{ faults, rounds int }

func (b budget) covers(other budget) bool {
	return b.faults >= other.faults && b.rounds >= other.rounds
}

// Run searches until an invariant does not hold, or all is searched. The same Config
// gives the same Result.
func Run(config Config) Result {
	config.RoundDuration = cmp.Or(config.RoundDuration, defaultRound)
	var result Result
	visited := map[Key]budget{}
	stack := []*world{newWorld(&config)}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		w.checkInvariants()
		result.count(w)
		if w.violation != "" {
			result.Violation, result.Trace = w.violation, w.trace.lines()
			break
		}
		key, remaining := w.key(), w.remaining()
		if earlier, wasVisited := visited[key]; wasVisited && earlier.covers(remaining) {
			continue
		}
		visited[key] = remaining
		if config.MaxStates > 0 && len(visited) >= config.MaxStates {
			result.Truncated = true
			break
		}
		if !w.isFinal() {
			stack = append(stack, w.successors()...)
		}
	}
	result.States = len(visited)
	return result
}

// count adds a state that was reached.
func (r *Result) count(w *world) {
	r.Steps++
	for epoch := range w.records {
		r.HighestEpoch = max(r.HighestEpoch, epoch)
	}
	r.AckedWrites = max(r.AckedWrites, len(w.acked))
}
