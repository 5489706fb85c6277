// Package modelcheck is a bounded model checker for package consensus. It runs the real
// machines of a small cluster through every sequence of events within given bounds, and
// checks invariants after each event.
//
// Time advances in rounds. In each round, every node receives a tick and all messages
// are delivered. A fault may replace the delivery of a message or happen between
// messages, up to a maximum number of faults; faults.go lists the faults. The search is
// depth first and deterministic. States are compared by a hash of everything that
// determines the further behavior of the machines (encode.go), so that a state that was
// already searched is not searched again.
package modelcheck

import (
	"cmp"
	"time"
)

// defaultRound is the duration of a round if Config.RoundDuration is 0.
const defaultRound = 100 * time.Millisecond

// Result is the outcome of a search.
type Result struct {
	// States is the number of distinct states. Steps is the number of times that any
	// state was reached.
	States, Steps int
	// ProgressChecks is the number of states from which the cluster was seen to recover.
	ProgressChecks int
	// HighestEpoch is the highest decided epoch. AckedWrites is the maximum number of
	// writes that were acknowledged in one state.
	HighestEpoch uint64
	AckedWrites  int
	// Truncated is true if the search ended at Config.MaxStates.
	Truncated bool
	// Violation describes the first violation of an invariant. It is empty if there
	// was none. Trace holds the events that led to the violation.
	Violation string
	Trace     []string
}

// budget is the number of faults and rounds that remain in a search from a state.
type budget struct{ faults, rounds int }

func (b budget) covers(other budget) bool {
	return b.faults >= other.faults && b.rounds >= other.rounds
}

// Run searches until an invariant is violated, all states within the bounds are
// searched or Config.MaxStates is reached. The same Config always produces the same
// Result.
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
		if w.violation == "" && config.ProgressInterval > 0 && len(visited)%config.ProgressInterval == 0 && config.toleratesLosses() {
			result.ProgressChecks++
			w.checkProgress()
		}
		if w.violation != "" {
			result.Violation, result.Trace = w.violation, w.trace.lines()
			break
		}
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

// count adds a reached state to the result.
func (r *Result) count(w *world) {
	r.Steps++
	for epoch := range w.records {
		r.HighestEpoch = max(r.HighestEpoch, epoch)
	}
	r.AckedWrites = max(r.AckedWrites, len(w.acked))
}
