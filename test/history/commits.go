package history

import (
	"slices"

	"tansyseam/test/standin"
)

// DuplicateEffects finds requests that took effect more than once.
func DuplicateEffects(e Evidence) []string {
	var found violations
	for database := range e.Logs {
		for id, positions := range e.effectPositions(database) {
			if id != "" && len(positions) > 1 {
				found.add("%s: %s at %v", database, id, positions)
			}
		}
	}
	return found
}

// RefusedButKept finds requests that took effect although an answer to the
// caller stated that they did not, or although the caller rolled back or
// abandoned their transaction.
func RefusedButKept(e Evidence) []string {
	var found violations
	for database := range e.Logs {
		effects := e.effectPositions(database)
		for _, event := range e.Events {
			refused := (isCommitKind(event) && event.Outcome == OutcomeNotKept) || event.Kind == KindRollback
			if event.Database != database || !refused {
				continue
			}
			for _, id := range requestIDs(event) {
				if positions := effects[id]; id != "" && len(positions) > 0 {
					found.add("%s: %s was answered %s (%s), but is committed at %v", database, id, event.Outcome, event.Error, positions)
				}
			}
		}
	}
	return found
}

// LostCommits finds requests that were acknowledged as committed, but that the
// final log lacks or holds at a position other than the acknowledged one.
func LostCommits(e Evidence) []string {
	var found violations
	for database := range e.Logs {
		effects := e.effectPositions(database)
		for _, event := range e.acknowledgedCommits(database) {
			for _, id := range requestIDs(event) {
				if !slices.Contains(effects[id], event.Position) {
					found.add("%s: %s was acknowledged at %v, but found at %v", database, id, event.Position, effects[id])
				}
			}
		}
	}
	return found
}

// acknowledgedCommits returns the requests that were acknowledged to their
// callers as committed, in the order of the events.
func (e Evidence) acknowledgedCommits(database string) []standin.Event {
	var commits []standin.Event
	for _, event := range e.Events {
		if event.Database == database && isCommitKind(event) && event.Outcome == OutcomeKept {
			commits = append(commits, event)
		}
	}
	return commits
}

// requestInTerm identifies a request that ran in a term.
type requestInTerm struct {
	id   string
	term uint64
}

// OldPrimaryCommits finds commits that were acknowledged in a term although
// they were sent, or ran, after an instance had been promoted in a later term.
// For a retry, only the time at which it ran counts.
func OldPrimaryCommits(e Evidence) []string {
	promoted := e.promotionTimes()
	lastRun := e.lastRunTimes()
	var found violations
	for _, event := range e.Events {
		if !isCommitKind(event) || event.Outcome != OutcomeKept {
			continue
		}
		for term, at := range promoted[event.Database] {
			sentLate := !event.Retry && event.SentAt > at
			executedLate := lastRun[requestInTerm{event.RequestID, event.Position.Term}] > at
			if term > event.Position.Term && (sentLate || executedLate) {
				found.add("%s: %s was committed in term %d after the promotion in term %d", event.Database, event.RequestID, event.Position.Term, term)
			}
		}
	}
	return found
}

// promotionTimes returns, by database and term, the time at which an instance
// was promoted.
func (e Evidence) promotionTimes() map[string]map[uint64]int64 {
	promoted := map[string]map[uint64]int64{}
	for _, execution := range e.Executions {
		if execution.Action != ActPromote {
			continue
		}
		if promoted[execution.Database] == nil {
			promoted[execution.Database] = map[uint64]int64{}
		}
		promoted[execution.Database][execution.Term] = execution.At
	}
	return promoted
}

func (e Evidence) lastRunTimes() map[requestInTerm]int64 {
	lastRun := map[requestInTerm]int64{}
	for _, execution := range e.Executions {
		if execution.Action == ActPromote || execution.RequestID == "" {
			continue
		}
		key := requestInTerm{execution.RequestID, execution.Term}
		lastRun[key] = max(lastRun[key], execution.At)
	}
	return lastRun
}
