package linehistory

import (
	"cmp"
	"slices"
	"time"
)

// acknowledgedCommit is a commit that was acknowledged to its client.
type acknowledgedCommit struct {
	at       time.Duration
	position Position
	id       string
}

// acknowledgedCommits returns the commits of the queries that match, in the order
// of their acknowledgement.
func (h History) acknowledgedCommits(matches func(Query) bool) []acknowledgedCommit {
	committed := h.committedPositions()
	var commits []acknowledgedCommit
	for _, query := range h.Queries {
		position, kept := committed[query.ID]
		if kept && query.endsWrite() && query.succeeded() && matches(query) {
			commits = append(commits, acknowledgedCommit{query.Answered, position, query.ID})
		}
	}
	slices.SortFunc(commits, func(a, b acknowledgedCommit) int { return cmp.Compare(a.at, b.at) })
	return commits
}

// firstMissing returns the first commit that was acknowledged before the given time
// and that a log ending at logEnd lacks. It returns false if there is none.
func firstMissing(commits []acknowledgedCommit, before time.Duration, logEnd Position) (acknowledgedCommit, bool) {
	for _, commit := range commits {
		if commit.at >= before {
			break
		}
		if !logEnd.Covers(commit.position) {
			return commit, true
		}
	}
	return acknowledgedCommit{}, false
}

// sessionAtService identifies the commits of one session at one service.
type sessionAtService struct{ session, service string }

// readChecker caches the acknowledged commits by service, and by session and
// service. They are computed when the first read needs them.
type readChecker struct {
	history    History
	services   map[string]string
	ofServices map[string][]acknowledgedCommit
	ofSessions map[sessionAtService][]acknowledgedCommit
	found      violations
}

// StaleReads finds reads on logs that lack a commit which the read's route
// guarantees to include.
func StaleReads(h History) []string {
	checker := &readChecker{
		history: h, services: h.servicesByID(),
		ofServices: map[string][]acknowledgedCommit{}, ofSessions: map[sessionAtService][]acknowledgedCommit{},
	}
	queries := h.queriesByID()
	for _, execution := range h.Executions {
		query, sent := queries[execution.ID]
		if sent && execution.Act == ActRead && query.succeeded() && query.Stamp == execution.Stamp {
			checker.checkRead(execution, query)
		}
	}
	return checker.found
}

func (c *readChecker) checkRead(execution Execution, query Query) {
	snapshot := query.snapshotTime()
	commits := c.commitsOfService(execution.Service)
	if commit, stale := firstMissing(commits, snapshot-query.allowedStaleness(), execution.LogEnd); stale {
		c.found.add("%s (%s) ran at %s on %v, without %s at %v, acknowledged %v before", execution.ID, query.Kind, execution.Instance, execution.LogEnd, commit.id, commit.position, snapshot-commit.at)
	}
	if query.Kind != kindOwnWrites {
		return
	}
	own := c.commitsOfSession(sessionAtService{query.Session, execution.Service})
	if commit, stale := firstMissing(own, snapshot, execution.LogEnd); stale {
		c.found.add("%s ran at %s on %v, without its own session's commit %s at %v", execution.ID, execution.Instance, execution.LogEnd, commit.id, commit.position)
	}
}

// allowedStaleness returns how old the snapshot that the query reads may be.
func (q Query) allowedStaleness() time.Duration {
	if q.Kind == kindBoundedLag || q.Kind == kindOwnWrites {
		return q.Staleness
	}
	return 0
}

func (c *readChecker) commitsOfService(service string) []acknowledgedCommit {
	if _, cached := c.ofServices[service]; !cached {
		c.ofServices[service] = c.history.acknowledgedCommits(func(query Query) bool { return c.services[query.ID] == service })
	}
	return c.ofServices[service]
}

func (c *readChecker) commitsOfSession(key sessionAtService) []acknowledgedCommit {
	if _, cached := c.ofSessions[key]; !cached {
		c.ofSessions[key] = c.history.acknowledgedCommits(func(query Query) bool {
			return query.Session == key.session && c.services[query.ID] == key.service
		})
	}
	return c.ofSessions[key]
}
