package history

import (
	"cmp"
	"slices"
	"time"

	"tansyseam/test/standin"
)

// commitHistory holds a database's acknowledged commits by the time of their
// acknowledgement.
type commitHistory struct {
	commits []standin.Event
	// highWatermarks has, for each commit, the furthest position acknowledged
	// up to it.
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

// acknowledgedBefore gives the furthest position that was acknowledged before
// a time.
func (c commitHistory) acknowledgedBefore(at int64) standin.Position {
	count, _ := slices.BinarySearchFunc(c.commits, at, func(commit standin.Event, at int64) int { return cmp.Compare(commit.AnsweredAt, at) })
	if count == 0 {
		return standin.Position{}
	}
	return c.highWatermarks[count-1]
}

// StaleReads finds reads that miss a commit of their own caller, or one that
// was acknowledged earlier than the staleness which their binding allows.
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
		found.add("%s: read by %s at %d (bound %d ms) saw %v, but %v was confirmed before", read.Database, read.Caller, read.SentAt, read.FreshnessMS, read.AppliedPosition, position)
	}
	for _, own := range c.byCaller[read.Caller] {
		if own.AnsweredAt < read.SentAt && isAfter(own.Position, read.AppliedPosition) {
			found.add("%s: %s does not see its own write %s at %v, saw %v", read.Database, read.Caller, own.RequestID, own.Position, read.AppliedPosition)
		}
	}
}
