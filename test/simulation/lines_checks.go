package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/test/linehistory"
)

// Names of rules that are checked in addition to those of linehistory.
const (
	// RuleWire is violated by a message to a client that has no pending query.
	RuleWire = "wire"
	// RuleWindow is violated by a window that differs from the paper's
	// equations.
	RuleWindow = "window"
)

const (
	// drainTimeout is the time after control acknowledged that an instance is
	// leaving in which the instance may still receive work.
	drainTimeout = 7 * time.Second
	// contactTimeout is the time that a node may need to receive updates after
	// it was started or thawed.
	contactTimeout = 4 * time.Second
	// checkedCommits limits the number of acknowledged commits that a read is
	// checked against.
	checkedCommits = 400
)

// acknowledgedCommits are the commits of one database that clients received an
// acknowledgement for, in the order of the acknowledgements.
type acknowledgedCommits struct {
	times     []time.Duration
	positions []model.Position
}

// lineChecker checks the rules of line sessions during a run.
type lineChecker struct {
	simulator *simulator
	// violations has the descriptions of violations, by the name of the rule.
	violations map[string][]string
	// queries has the queries of all clients, by their ID.
	queries map[string]*query
	// stampOwners maps the stamp of each answer to the ID of its query.
	stampOwners map[string]string
	// commitPositions maps each committed write to its position in the log.
	commitPositions map[string]model.Position
	// refusals maps a write to the error which guaranteed that the write has
	// no effect.
	refusals     map[string]string
	acknowledged map[string]*acknowledgedCommits
	versions     versionHistory

	served       int
	writes       int
	failureCodes map[string]int
	// recoveryCheckFrom is the start of the span after the last fault in which
	// operations are counted; 0 until the faults have ended.
	recoveryCheckFrom time.Duration
	recoveryStarted   int
	recoveryServed    int
}

func newLineChecker(s *simulator) *lineChecker {
	return &lineChecker{
		simulator: s, violations: map[string][]string{}, queries: map[string]*query{}, stampOwners: map[string]string{},
		commitPositions: map[string]model.Position{}, refusals: map[string]string{}, acknowledged: map[string]*acknowledgedCommits{},
		versions: versionHistory{sent: map[uint64]time.Duration{}}, failureCodes: map[string]int{},
	}
}

func (c *lineChecker) addViolation(rule, format string, arguments ...any) {
	text := fmt.Sprintf("%9.3f ", sinceStartMS(c.simulator.now)) + fmt.Sprintf(format, arguments...)
	c.violations[rule] = append(c.violations[rule], text)
	c.simulator.record("violation of rule %s: %s", rule, text)
}

// acknowledge records a commit that a client has received an acknowledgement
// for.
func (c *lineChecker) acknowledge(database string, position model.Position) {
	commits := c.commitsOf(database)
	commits.times = append(commits.times, c.simulator.now)
	commits.positions = append(commits.positions, position)
}

func (c *lineChecker) commitsOf(database string) *acknowledgedCommits {
	if c.acknowledged[database] == nil {
		c.acknowledged[database] = &acknowledgedCommits{}
	}
	return c.acknowledged[database]
}

// checkComplete checks that the log of an instance has all acknowledged commits.
// The violation describes the instance by its role.
func (c *lineChecker) checkComplete(instance *lineInstance, role string) {
	commits := c.commitsOf(instance.database)
	for index, position := range commits.positions {
		if !instance.holds(position) {
			c.addViolation(linehistory.RuleLostCommits, "%s, %s at %v, lacks the commit at %v, which was acknowledged at %.3f", role, instance.name, instance.position(), position, sinceStartMS(commits.times[index]))
			return
		}
	}
}

// missingCommit returns the highest position of the last commits that were
// acknowledged before a time, and reports whether the first logSize entries of
// the instance's log lack that commit.
func (c *lineChecker) missingCommit(instance *lineInstance, logSize int, before time.Duration) (model.Position, bool) {
	commits := c.commitsOf(instance.database)
	var furthest model.Position
	for index, at := range slices.Backward(commits.times) {
		if at >= before {
			continue
		}
		furthest = furthest.Max(commits.positions[index])
		if len(commits.times)-index > checkedCommits {
			break
		}
	}
	if furthest == (model.Position{}) {
		return furthest, false
	}
	return furthest, instance.lacksInPrefix(logSize, furthest)
}

// lacksInPrefix reports whether the first logSize entries of the log lack the
// entry at a position.
func (i *lineInstance) lacksInPrefix(logSize int, position model.Position) bool {
	return int(position.Index) > logSize || !i.holds(position)
}

// checkCommit checks writes that are being committed.
func (c *lineChecker) checkCommit(writeIDs []string, position model.Position) {
	for _, id := range writeIDs {
		if earlier, committed := c.commitPositions[id]; committed {
			c.addViolation(linehistory.RuleDuplicateWrites, "write %s is committed at %v and at %v", id, earlier, position)
		}
		c.commitPositions[id] = position
		if code := c.refusals[id]; code != "" {
			c.addViolation(linehistory.RuleRefusedButKept, "write %s was refused with %s, but is committed at %v", id, code, position)
		}
	}
}

// refuse records an error which guarantees that a write has no effect.
func (c *lineChecker) refuse(writeID, code string) {
	c.refusals[writeID] = code
	if position, committed := c.commitPositions[writeID]; committed {
		c.addViolation(linehistory.RuleRefusedButKept, "write %s was refused with %s, but is committed at %v", writeID, code, position)
	}
}

// checkAnswer checks that the answer to a successful query is the one that an
// instance gave to this query, with the expected number of rows.
func (c *lineChecker) checkAnswer(sent *query, answer response, rows int) {
	matches := c.stampOwners[answer.payload] == sent.id && len(answer.rows) == rows
	if matches && rows > 0 {
		matches = answer.rows[0] == rowPayload(answer.payload)
	}
	if !matches {
		c.addViolation(linehistory.RuleMixedAnswers, "query %s was answered with stamp %s and rows %v", sent.id, answer.payload, answer.rows)
	}
}

// rowPayload returns the row that an instance sends with a stamp.
func rowPayload(stamp string) string { return "row " + stamp }

// checkAcknowledgement checks the acknowledgement of a commit to a client.
func (c *lineChecker) checkAcknowledgement(sent *query) {
	c.writes++
	if sent.position == (model.Position{}) {
		c.addViolation(linehistory.RuleMixedAnswers, "query %s was acknowledged, but no instance committed it", sent.id)
		return
	}
	client := sent.client
	if sent.byOldPrimary && client.node != nil && client.node.thawedAt < sent.sentAt-thawTolerance {
		c.addViolation(linehistory.RuleOldPrimaryCommits, "query %s was committed at %v by an instance that was no longer the primary, and acknowledged", sent.id, sent.position)
	}
	c.acknowledge(sent.database, sent.position)
	client.ownPositions[sent.database] = client.ownPositions[sent.database].Max(sent.position)
}

// checkStatement checks a statement that an instance is about to run, and
// returns its query. It returns nil if no client sent the statement.
func (l *lineFleet) checkStatement(session *serverSession, id, text string) *query {
	instance, checker := session.instance, l.checker
	sent := checker.queries[id]
	if sent == nil || sent.text != text {
		checker.addViolation(linehistory.RuleUnrequested, "%s runs %q as query %s, which no client sent with this text", instance.name, text, id)
		return nil
	}
	if values := joinValues(session.state.values); values != sent.values {
		checker.addViolation(linehistory.RuleWrongSession, "query %s runs with the settings %q, the client's session has %q", id, values, sent.values)
	}
	if (session.transaction == nil) != (sent.transaction == nil) {
		checker.addViolation(linehistory.RuleWrongSession, "query %s runs inside a transaction: %v, was sent inside a transaction: %v", id, session.transaction != nil, sent.transaction != nil)
		return sent
	}
	logSize := len(instance.entries)
	if sent.transaction != nil {
		checker.checkTransaction(session, sent)
		logSize = session.transaction.logSize
	}
	checker.checkFreshness(sent, instance, logSize)
	if sent.continuation || sent.action == lineproto.ActionCommit {
		return sent
	}
	if instance.leavingAcknowledged != 0 && l.simulator.now > instance.leavingAcknowledged+drainTimeout && !session.connection.node.isRecovering() {
		checker.addViolation(linehistory.RuleWorkAfterLeaving, "query %s runs at %s, whose leaving was acknowledged at %.3f", id, instance.name, sinceStartMS(instance.leavingAcknowledged))
	}
	if sent.client.route == markedRoute {
		l.checkMarkedRoute(sent, instance)
	}
	return sent
}

// checkTransaction checks that all statements of a client's transaction run in
// one session of an instance, and in one transaction of that session.
func (c *lineChecker) checkTransaction(session *serverSession, sent *query) {
	if sent.transaction.session == nil {
		sent.transaction.session = session
	}
	if session.transaction.owner == nil {
		session.transaction.owner = sent.transaction
	}
	if sent.transaction.session != session || session.transaction.owner != sent.transaction {
		c.addViolation(linehistory.RuleWrongSession, "query %s runs on another connection than its transaction, or inside another transaction", sent.id)
	}
}

// checkFreshness checks that a read is as fresh as its route guarantees.
func (c *lineChecker) checkFreshness(sent *query, instance *lineInstance, logSize int) {
	if isWriteText(sent.text) || sent.action == lineproto.ActionCommit {
		return
	}
	snapshotAt := sent.sentAt
	if sent.transaction != nil {
		snapshotAt = sent.transaction.sentAt
	}
	route := sent.client.route
	ownRoute := strings.HasSuffix(route, ownSuffix)
	before := snapshotAt
	if ownRoute || strings.HasSuffix(route, staleSuffix) {
		before -= stalenessBound
	}
	if position, missing := c.missingCommit(instance, logSize, before); missing {
		c.addViolation(linehistory.RuleStaleReads, "query %s, sent at %.3f, runs at %s with the first %d entries of the log, which lack the commit at %v", sent.id, sinceStartMS(snapshotAt), instance.name, logSize, position)
	}
	ownPosition := sent.ownPositions[instance.database]
	if ownRoute && ownPosition != (model.Position{}) && instance.lacksInPrefix(logSize, ownPosition) {
		c.addViolation(linehistory.RuleStaleReads, "query %s runs at %s with the first %d entries of the log, which lack the session's own commit at %v", sent.id, instance.name, logSize, ownPosition)
	}
}

// joinValues returns the settings of a session as one text, for comparison.
func joinValues(values map[string]string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, name+"="+values[name])
	}
	return strings.Join(parts, " ")
}
