package history

import (
	"slices"
	"time"
)

const (
	// downgradeTolerance is how long requests may still be served under an
	// older set after a newer set first took effect.
	downgradeTolerance = int64(250 * time.Millisecond)
	// changeTimeout is the time within which a set must take effect after it
	// was acknowledged and due.
	changeTimeout = int64(3 * time.Second)
	// setTimeout is the minimum time between the moment at which a set was
	// acknowledged and due and the end of the run. A set that is missing after
	// less time than that is not a violation.
	setTimeout = int64(4 * time.Second)
)

// IgnoredChanges finds requests that were served under an older set although
// a newer set had been in effect for longer than downgradeTolerance, or had been
// acknowledged and due for longer than changeTimeout. It also finds scheduled sets
// that took effect early.
func IgnoredChanges(e Evidence) []string {
	var found violations
	firstServed := e.firstServedTimes()
	for _, event := range e.Events {
		if event.Sequence == 0 {
			continue
		}
		for sequence, at := range firstServed {
			if sequence > event.Sequence && event.SentAt > at+downgradeTolerance {
				found.add("%s was served under sequence %d, %d ms after sequence %d took effect", event.Caller, event.Sequence, milliseconds(event.SentAt-at), sequence)
			}
		}
	}
	for _, accepted := range e.AcceptedSets {
		since := max(accepted.AcknowledgedAt, accepted.EffectiveAt)
		for _, event := range e.Events {
			if event.Sequence != 0 && event.Sequence < accepted.Sequence && event.SentAt > since+changeTimeout {
				found.add("%s was served under sequence %d, %d ms after sequence %d was due", event.Caller, event.Sequence, milliseconds(event.SentAt-since), accepted.Sequence)
			}
		}
		at, served := firstServed[accepted.Sequence]
		if served && accepted.EffectiveAt != 0 && at < accepted.EffectiveAt {
			found.add("sequence %d took effect %d ms early", accepted.Sequence, milliseconds(accepted.EffectiveAt-at))
		}
	}
	return found
}

// firstServedTimes returns, by sequence, the time at which the first answer
// under that set was received.
func (e Evidence) firstServedTimes() map[uint64]int64 {
	first := map[uint64]int64{}
	for _, event := range e.Events {
		if event.Sequence == 0 || event.Outcome == OutcomeCut {
			continue
		}
		if at, ok := first[event.Sequence]; !ok || event.AnsweredAt < at {
			first[event.Sequence] = event.AnsweredAt
		}
	}
	return first
}

// setChecker tracks the sets of a run by the ID that the operator sent with
// the set.
type setChecker struct {
	evidence    Evidence
	idByContent map[string]string
	// effectiveAt holds the scheduled sets only.
	effectiveAt map[string]int64
	// sequences and idBySequence hold the sets that were served.
	sequences      map[string]uint64
	idBySequence   map[uint64]string
	newestSequence uint64
	accepted       map[string]bool
	refused        map[string]bool
	found          violations
}

// InconsistentSets finds the following violations:
//   - a set was served with content that no operator sent;
//   - a set was served under two sequences, or two sets were served under one
//     sequence;
//   - an accepted set that is not scheduled was served under a sequence other
//     than the acknowledged one, or neither it nor a newer set was served;
//   - a set that was refused, and never accepted, was served;
//   - an accepted scheduled set took effect out of order or not at all.
func InconsistentSets(e Evidence) []string {
	checker := &setChecker{
		evidence: e, idByContent: map[string]string{}, effectiveAt: map[string]int64{}, sequences: map[string]uint64{},
		idBySequence: map[uint64]string{}, accepted: map[string]bool{}, refused: map[string]bool{},
	}
	for _, submitted := range e.SubmittedSets {
		checker.idByContent[submitted.Content] = submitted.ID
		if submitted.Scheduled {
			checker.effectiveAt[submitted.ID] = submitted.EffectiveAt
		}
	}
	for _, served := range e.ServedSets {
		checker.checkServed(served)
	}
	for _, answer := range e.SetAnswers {
		checker.checkAnswer(answer)
	}
	checker.checkRefused()
	checker.checkScheduledOrder()
	return checker.found
}

func (c *setChecker) checkServed(served ServedSet) {
	id, submitted := c.idByContent[served.Content]
	if !submitted {
		c.found.add("%s served sequence %d, whose content no operator sent: %s", served.Node, served.Sequence, served.Content)
		return
	}
	if sequence, ok := c.sequences[id]; ok && sequence != served.Sequence {
		c.found.add("%s took effect as sequence %d and as sequence %d", id, sequence, served.Sequence)
	}
	if other, ok := c.idBySequence[served.Sequence]; ok && other != id {
		c.found.add("sequence %d is %s at one node and %s at another", served.Sequence, other, id)
	}
	c.sequences[id], c.idBySequence[served.Sequence] = served.Sequence, id
	c.newestSequence = max(c.newestSequence, served.Sequence)
}

func (c *setChecker) checkAnswer(answer SetAnswer) {
	if answer.Refused {
		c.refused[answer.ID] = true
		return
	}
	c.accepted[answer.ID] = true
	sequence, served := c.sequences[answer.ID]
	effectiveAt, scheduled := c.effectiveAt[answer.ID]
	if served && !scheduled && sequence != answer.Sequence {
		c.found.add("%s was accepted as sequence %d, but took effect as %d", answer.ID, answer.Sequence, sequence)
	}
	due := c.evidence.End > max(answer.At, effectiveAt)+setTimeout
	missing := (scheduled && !served) || (!scheduled && c.newestSequence < answer.Sequence)
	if due && missing {
		c.found.add("%s was accepted as sequence %d, but did not take effect (newest %d)", answer.ID, answer.Sequence, c.newestSequence)
	}
}

func (c *setChecker) checkRefused() {
	for id := range c.refused {
		if sequence, served := c.sequences[id]; served && !c.accepted[id] {
			c.found.add("%s was refused, but took effect as sequence %d", id, sequence)
		}
	}
}

func (c *setChecker) checkScheduledOrder() {
	for id, effectiveAt := range c.effectiveAt {
		for other, later := range c.effectiveAt {
			first, firstServed := c.sequences[id]
			second, secondServed := c.sequences[other]
			bothInForce := firstServed && secondServed && c.accepted[id] && c.accepted[other]
			if bothInForce && effectiveAt < later && first > second && c.acceptedBefore(id, effectiveAt) {
				c.found.add("%s was due first, but took effect as sequence %d, after %s as %d", id, first, other, second)
			}
		}
	}
}

// acceptedBefore reports whether the answer to the set was received before at.
func (c *setChecker) acceptedBefore(id string, at int64) bool {
	return slices.ContainsFunc(c.evidence.SetAnswers, func(answer SetAnswer) bool { return answer.ID == id && answer.At < at })
}
