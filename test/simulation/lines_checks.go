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

// Names of rules that are checked beside those of linehistory.
const (
	// RuleWire is broken by messages that nobody asked for.
	RuleWire = "wire"
	// RuleWindow is broken by windows that differ from the paper's equations.
	RuleWindow = "window"
)

const (
	// drainTimeout is how long after its leaving was acknowledged an instance
	// may still receive work.
	drainTimeout = 7 * time.Second
	// contactTimeout is how long a node may need to hear of changes after it
	// was started or thawed.
	contactTimeout = 4 * time.Second
	// checkedCommits bounds how many acknowledged commits a read is checked
	// against.
	checkedCommits = 400
)

// acknowledgedCommits are the commits of one database that were acknowledged
// to clients, in order.
type acknowledgedCommits struct {
	times     []time.Duration
	positions []model.Position
}

// lineChecker checks the rules of line sessions while a run goes on.
type lineChecker struct {
	simulator *simulator
	// violations has what was found, by the name of the rule.
	violations map[string][]string
	queries    map[string]*query
	// stampOwners gives the query of each answer's stamp.
	stampOwners map[string]string
	// commitPositions gives where each write is in a log.
	commitPositions map[string]model.Position
	// refusals has, by write, the answer that promised that it has no effect.
	refusals     map[string]string
	acknowledged map[string]*acknowledgedCommits
	versions     versionHistory

	served       int
	writes       int
	failureCodes map[string]int
	// recoveryCheckFrom begins the span in which operations are counted after
	// the last fault; 0 for not yet.
	recoveryCheckFrom time.Duration
	recoveryBegun     int
	recoveryServed    int
}

func newLineChecker(s *simulator) *lineChecker {
	return &lineChecker{
		simulator: s, violations: map[string][]string{}, queries: map[string]*query{}, stampOwners: map[string]string{},
		commitPositions: map[string]model.Position{}, refusals: map[string]string{}, acknowledged: map[string]*acknowledgedCommits{},
		versions: versionHistory{sent: map[uint64]time.Duration{}}, failureCodes: map[string]int{},
	}
}

func (c *lineChecker) addViolation(rule, format string, parts ...any) {
	text := fmt.Sprintf("%9.3f ", sinceStartMS(c.simulator.now)) + fmt.Sprintf(format, parts...)
	c.violations[rule] = append(c.violations[rule], text)
	c.simulator.record("BROKEN %s: %s", rule, text)
}

// acknowledge takes in that a client was told of a commit.
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

// checkComplete checks that an instance's log has all acknowledged commits;
// role says which instance it is.
func (c *lineChecker) checkComplete(instance *lineInstance, role string) {
	commits := c.commitsOf(instance.database)
	for index, position := range commits.positions {
		if !instance.holds(position) {
			c.addViolation(linehistory.RuleLostCommits, "%s, %s at %v, lacks %v, told kept at %.3f", role, instance.name, instance.position(), position, sinceStartMS(commits.times[index]))
			return
		}
	}
}

// missingCommit gives the furthest of the last commits acknowledged before a
// time, and whether the first entries of an instance's log lack it.
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
	return furthest, instance.lacksInFirst(logSize, furthest)
}

// lacksInFirst reports whether the first entries of the log lack a position.
func (i *lineInstance) lacksInFirst(logSize int, position model.Position) bool {
	return int(position.Index) > logSize || !i.holds(position)
}

// checkCommit checks writes that are being committed.
func (c *lineChecker) checkCommit(writeIDs []string, position model.Position) {
	for _, id := range writeIDs {
		if earlier, committed := c.commitPositions[id]; committed {
			c.addViolation(linehistory.RuleDuplicateWrites, "%s is at %v and at %v", id, earlier, position)
		}
		c.commitPositions[id] = position
		if code := c.refusals[id]; code != "" {
			c.addViolation(linehistory.RuleRefusedButKept, "%s was told %s, and is kept at %v", id, code, position)
		}
	}
}

// refuse takes in an answer that promises that a write has no effect.
func (c *lineChecker) refuse(writeID, code string) {
	c.refusals[writeID] = code
	if position, committed := c.commitPositions[writeID]; committed {
		c.addViolation(linehistory.RuleRefusedButKept, "%s was told %s, and is kept at %v", writeID, code, position)
	}
}

// checkAnswer checks that a success is an instance's own answer to the query.
func (c *lineChecker) checkAnswer(sent *query, answer response, rows int) {
	own := c.stampOwners[answer.payload] == sent.id && len(answer.rows) == rows
	if own && rows > 0 {
		own = answer.rows[0] == rowPayload(answer.payload)
	}
	if !own {
		c.addViolation(linehistory.RuleMixedAnswers, "%s was answered %s with %v", sent.id, answer.payload, answer.rows)
	}
}

// rowPayload is the row that belongs to a stamp.
func rowPayload(stamp string) string { return "row " + stamp }

// checkAcknowledgement checks a commit that a client is told of.
func (c *lineChecker) checkAcknowledgement(sent *query) {
	c.writes++
	if sent.position == (model.Position{}) {
		c.addViolation(linehistory.RuleMixedAnswers, "%s was told kept, and is nowhere", sent.id)
		return
	}
	client := sent.client
	if sent.byOldPrimary && client.node != nil && client.node.thawedAt < sent.sentAt-thawTolerance {
		c.addViolation(linehistory.RuleOldPrimaryCommits, "%s was kept at %v by a primary that was one no more, and told so", sent.id, sent.position)
	}
	c.acknowledge(sent.database, sent.position)
	client.ownPositions[sent.database] = client.ownPositions[sent.database].Max(sent.position)
}

// checkStatement checks a statement that an instance is about to run; it gives
// nil where no client sent it.
func (l *lineFleet) checkStatement(session *serverSession, id, text string) *query {
	instance, checker := session.instance, l.checker
	sent := checker.queries[id]
	if sent == nil || sent.text != text {
		checker.addViolation(linehistory.RuleUnrequested, "%s runs %q as %s", instance.name, text, id)
		return nil
	}
	if values := joinValues(session.state.values); values != sent.values {
		checker.addViolation(linehistory.RuleWrongSession, "%s runs with %q, its session has %q", id, values, sent.values)
	}
	if (session.transaction == nil) != (sent.transaction == nil) {
		checker.addViolation(linehistory.RuleWrongSession, "%s runs inside a transaction: %v, was sent inside: %v", id, session.transaction != nil, sent.transaction != nil)
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
		checker.addViolation(linehistory.RuleWorkAfterLeaving, "%s runs at %s, which is leaving since %.3f", id, instance.name, sinceStartMS(instance.leavingAcknowledged))
	}
	if sent.client.route == markedRoute {
		l.checkMarkedRoute(sent, instance)
	}
	return sent
}

// checkTransaction checks that a client's transaction stays in one transaction
// of one connection.
func (c *lineChecker) checkTransaction(session *serverSession, sent *query) {
	if sent.transaction.session == nil {
		sent.transaction.session = session
	}
	if session.transaction.owner == nil {
		session.transaction.owner = sent.transaction
	}
	if sent.transaction.session != session || session.transaction.owner != sent.transaction {
		c.addViolation(linehistory.RuleWrongSession, "%s runs on another connection than its transaction, or inside another's", sent.id)
	}
}

// checkFreshness checks that a read sees what its route promises.
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
		c.addViolation(linehistory.RuleStaleReads, "%s, sent at %.3f, runs at %s at %d, which lacks %v", sent.id, sinceStartMS(snapshotAt), instance.name, logSize, position)
	}
	own := sent.ownPositions[instance.database]
	if ownRoute && own != (model.Position{}) && instance.lacksInFirst(logSize, own) {
		c.addViolation(linehistory.RuleStaleReads, "%s runs at %s at %d, which lacks the session's own %v", sent.id, instance.name, logSize, own)
	}
}

// joinValues writes the settings of a session out, for comparison.
func joinValues(values map[string]string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, name+"="+values[name])
	}
	return strings.Join(parts, " ")
}
