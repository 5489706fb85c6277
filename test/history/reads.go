package history

import (
	"cmp"
	"slices"
	"time"

	"tansyseam/test/standin"
)

// commitHistory holds the acknowledged commits of a database, ordered by the
// time of their acknowledgement.
type commitHistory struct {
	commits []standin.Event
	// highWatermarks holds, for each commit, the highest position that had been
	// acknowledged when the commit was acknowledged.
	highWatermarks []standin.Position
	byCaller       map[string][]standin.Event
}

func newCommitHistory(commits []standin.Event) commitHistory {
	slices.SortFunc(commits, func(a, b standin.Event) int { return cmp.Compare(a.AnsweredAt, b.AnsweredAt) })
	history := commitHistory{commits: commits, byCaller: map[string][]standin.Event{}}
	var highWatermark standin.Position
	for _, commit := range commits {
		if isAfter(commit.Position, highWatermark) {
			highWatermark = commit.Position
		}
		history.highWatermarks = append(history.highWatermarks, highWatermark)
		history.byCaller[commit.Caller] = append(history.byCaller[commit.Caller], commit)
	}
	return history
}

// acknowledgedBefore returns the highest position that was acknowledged before
// at.
func (c commitHistory) acknowledgedBefore(at int64) standin.Position {
	count, _ := slices.BinarySearchFunc(c.commits, at, func(commit standin.Event, at int64) int { return cmp.Compare(commit.AnsweredAt, at) })
	if count == 0 {
		return standin.Position{}
	}
	return c.highWatermarks[count-1]
}

// StaleReads finds reads that miss an earlier commit of their own caller. It
// also finds reads that miss a commit which was acknowledged longer before the
// read than the staleness bound of the binding.
func StaleReads(e Evidence) []string {
	var found violations
	for database := range e.Logs {
		history := newCommitHistory(e.acknowledgedCommits(database))
		for _, event := range e.Events {
			if event.Database == database && event.Kind == KindRead && event.Outcome == OutcomeRead {
				history.checkRead(event, &found)
			}
		}
	}
	return found
}

func (c commitHistory) checkRead(read standin.Event, found *violations) {
	bound := read.SentAt - int64(read.FreshnessMS)*int64(time.Millisecond)
	if position := c.acknowledgedBefore(bound); isAfter(position, read.AppliedPosition) {
		found.add("%s: read by %s at %d (bound %d ms) observed %v, but %v was acknowledged before", read.Database, read.Caller, read.SentAt, read.FreshnessMS, read.AppliedPosition, position)
	}
	for _, own := range c.byCaller[read.Caller] {
		if own.AnsweredAt < read.SentAt && isAfter(own.Position, read.AppliedPosition) {
			found.add("%s: %s does not observe its own write %s at %v, observed %v", read.Database, read.Caller, own.RequestID, own.Position, read.AppliedPosition)
		}
	}
}
