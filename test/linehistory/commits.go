package linehistory

import "cmp"

// DuplicateWrites finds writes that took effect twice.
func DuplicateWrites(h History) []string {
	var found violations
	for service, log := range h.Logs {
		positions := map[string]Position{}
		for _, entry := range log {
			for _, id := range entry.IDs {
				if earlier, duplicate := positions[id]; duplicate {
					found.add("%s committed %s at %v and at %v", service, id, earlier, entry.Position)
				}
				positions[id] = entry.Position
			}
		}
	}
	return found
}

// RefusedButKept finds writes that took effect although the answer to the write, or
// to a statement of its transaction, guaranteed that they have no effect.
func RefusedButKept(h History) []string {
	refusals := map[string]string{}
	for _, query := range h.Queries {
		if PromisesNoEffect(query.Code) {
			refusals[query.atomicUnit()] = query.Code
		}
	}
	var found violations
	committed := h.committedPositions()
	for _, query := range h.Queries {
		code, refused := refusals[query.atomicUnit()]
		if position, kept := committed[query.ID]; refused && kept {
			found.add("%s was refused with %s, but is committed at %v", query.ID, code, position)
		}
	}
	return found
}

// atomicUnit returns the ID of the unit that takes effect atomically: the
// transaction, or the query if it is outside a transaction.
func (q Query) atomicUnit() string { return cmp.Or(q.Transaction, q.ID) }

// OldPrimaryCommits finds commits that were acknowledged to their clients
// although another instance had been promoted before.
func OldPrimaryCommits(h History) []string {
	var found violations
	queries := h.queriesByID()
	for _, execution := range h.Executions {
		if execution.CommittedAt == (Position{}) || !queries[execution.ID].succeeded() {
			continue
		}
		for _, promotion := range h.Promotions {
			if promotion.supersedes(execution) {
				found.add("%s was committed at %s %v after %s was promoted, and acknowledged", execution.ID, execution.Instance, execution.At-promotion.At, promotion.Instance)
			}
		}
	}
	return found
}

// supersedes reports whether a commit was executed after the promotion, by an
// instance that was primary in an earlier term.
func (p Promotion) supersedes(commit Execution) bool {
	elsewhere := p.Service == commit.Service && p.Instance != commit.Instance
	return elsewhere && commit.At > p.At && commit.CommittedAt.Term < p.Term
}

// LostCommits finds acknowledged commits that the log lacks. In quiet spans it
// also finds sessions that were cut off while a statement was pending, if an
// instance had executed the statement or it had been pending for longer than
// Bounds.Slack.
func LostCommits(h History) []string {
	var found violations
	committed, queries := h.committedPositions(), h.queriesByID()
	executed := map[string]bool{}
	for _, execution := range h.Executions {
		query := queries[execution.ID]
		executed[execution.ID] = true
		acknowledged := execution.CommittedAt != (Position{}) && query.succeeded() && query.Stamp == execution.Stamp
		if _, kept := committed[execution.ID]; acknowledged && !kept {
			found.add("%s was acknowledged by %s at %v, but is not in the log", execution.ID, execution.Instance, execution.CommittedAt)
		}
	}
	for _, query := range h.Queries {
		pending := query.Answered - query.Sent
		for _, span := range h.QuietSpans {
			if query.Cut && span.contains(query.Sent) && (executed[query.ID] || pending > h.Bounds.Slack) {
				found.add("%s (%q) was cut off %v after it was sent, while there was no fault", query.ID, query.Text, pending)
			}
		}
	}
	return found
}
