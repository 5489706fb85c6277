package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/test/linehistory"
)

const (
	defaultClientPace   = 60 * time.Millisecond
	maxClientStartDelay = 500 * time.Millisecond
	minReopenDelay      = 50 * time.Millisecond
	maxReopenDelay      = 400 * time.Millisecond
	lineOpenTimeout     = 2 * time.Second
	queryTimeout        = 6 * time.Second
	// lineDisconnectDelay is the time from the crash of a node until its clients
	// detect it.
	lineDisconnectDelay = 2 * time.Millisecond
	// clientRandomStream is the random stream of the first client. It separates
	// the random numbers of clients from those of the simulator.
	clientRandomStream = 100
	keyCount           = 50
)

// clientTransaction is the client's state of a transaction.
type clientTransaction struct {
	sentAt     time.Duration
	statements int
	// session is the instance's session in which the transaction runs; nil
	// until its first statement has run.
	session *serverSession
}

// query is one query of a client, and its outcome.
type query struct {
	id     string
	client *lineClient
	action lineproto.Action
	text   string
	// values are the settings of the session, as joinValues returns them.
	values      string
	transaction *clientTransaction
	// continuation is true if the query is not the first statement of its
	// transaction.
	continuation bool
	sentAt       time.Duration
	// ownPositions has the highest position of the session's own commits, by
	// database.
	ownPositions map[string]model.Position
	// version is the version of the configuration under which the query ran.
	version uint64
	// database and position are the place of the query's commit.
	database string
	position model.Position
	// byOldPrimary is true if another instance had been promoted before the
	// commit.
	byOldPrimary bool
}

// response is the result of a query at the client.
type response struct {
	// disconnected is true if the session ended without a complete answer.
	disconnected bool
	failed       bool
	code         lineproto.Code
	payload      string
	rows         []string
}

func (r response) succeeded() bool { return !r.disconnected && !r.failed }

// lineClient is a client of line sessions. It has one session at a time, and
// runs one operation after the other.
type lineClient struct {
	machine
	fleet  *lineFleet
	random *rand.Rand
	route  string
	// pace is the approximate mean pause between operations.
	pace time.Duration

	// node is the node of the session; nil if there is no session.
	node            *lineNode
	nodeIncarnation int
	// session is the session in the node's pool; nil until the node has
	// accepted it.
	session *linepool.Client
	// sessionNumber identifies the session. Opening and closing a session
	// increase it, so that late events of an earlier session are ignored.
	sessionNumber int
	opened        bool
	// lastToNode and lastToClient are the times at which the last message sent
	// in each direction arrives.
	lastToNode, lastToClient time.Duration
	transactionState         byte
	state                    sessionState
	ownPositions             map[string]model.Position
	// pendingResponse receives the next answer.
	pendingResponse func(response)
	// answers counts the complete answers.
	answers int
}

func (l *lineFleet) startClients(seed uint64) {
	routes := []string{markedRoute}
	for _, database := range l.databases {
		routes = append(routes, database+strictSuffix, database+staleSuffix, database+ownSuffix)
	}
	for index := range l.config.Clients {
		client := &lineClient{
			machine: newMachine(l.simulator, fmt.Sprintf("u%d", index+1)), fleet: l, route: routes[index%len(routes)],
			random: rand.New(rand.NewPCG(seed, uint64(index)+clientRandomStream)), pace: defaultClientPace,
		}
		client.running = true
		l.clients = append(l.clients, client)
		client.after(l.simulator.randomDuration(0, maxClientStartDelay), client.run)
	}
	l.probeReadiness()
}

func (c *lineClient) randomDuration(low, high time.Duration) time.Duration {
	return drawDuration(c.random, low, high)
}

func (c *lineClient) randomKey() string { return fmt.Sprintf("t%d", c.random.IntN(keyCount)) }

// run runs the next operation, and opens a session before it if there is none.
func (c *lineClient) run() {
	if c.node == nil {
		c.openSession(c.run)
		return
	}
	c.runOperation()
}

func (c *lineClient) pause() { c.after(c.randomDuration(c.pace/4, c.pace*2), c.run) }

// openSession tries to open a session at a node that the platform lists. It
// calls next after a success, and also, with a delay, after a failure.
func (c *lineClient) openSession(next func()) {
	listed := c.fleet.listedNodes()
	node := listed[c.random.IntN(len(listed))]
	c.sessionNumber++
	c.node, c.nodeIncarnation, c.session, c.opened = node, node.incarnation, nil, false
	c.lastToNode, c.lastToClient, c.transactionState = 0, 0, lineproto.StateIdle
	c.state, c.ownPositions = newSessionState(), map[string]model.Position{}
	c.pendingResponse = func(answer response) {
		if answer.succeeded() {
			c.opened = true
			next()
			return
		}
		if answer.failed && answer.code == lineproto.CodeUnknownDatabase {
			c.fleet.checker.addViolation(linehistory.RuleWrongConfiguration, "%s: route %s is refused as unknown by %s", c.name, c.route, node.name)
		}
		c.closeSession()
		c.after(c.randomDuration(minReopenDelay, maxReopenDelay), next)
	}
	c.sendToNode(func() {
		c.session = node.pool.Accept(c, node.clock())
		if c.session != nil {
			node.clients[c.session] = c
			node.pool.Connect(c.session, c.route, node.clock())
		}
	})
	c.setTimeout(lineOpenTimeout)
}

// setTimeout ends the session if the pending query receives no answer within the
// time-out.
func (c *lineClient) setTimeout(timeout time.Duration) {
	number, answers := c.sessionNumber, c.answers
	c.after(timeout, func() {
		if c.sessionNumber == number && c.pendingResponse != nil && c.answers == answers {
			c.disconnect()
		}
	})
}

// disconnect ends the session and the pending query.
func (c *lineClient) disconnect() {
	receive := c.pendingResponse
	c.pendingResponse = nil
	c.closeSession()
	if receive != nil {
		receive(response{disconnected: true})
	}
}

func (c *lineClient) closeSession() {
	if c.node == nil {
		return
	}
	node, session := c.node, c.session
	if session != nil {
		c.sendToNode(func() {
			delete(node.clients, session)
			delete(node.openQueries, session)
			node.pool.ClientLost(session, node.clock())
		})
	}
	c.node, c.session, c.opened = nil, nil, false
	c.sessionNumber++
}

// sendToNode delivers a message to the node, which handles it in one step of its
// pool. If the node is not running, the session ends.
func (c *lineClient) sendToNode(receive func()) {
	s, node, incarnation, number := c.simulator, c.node, c.nodeIncarnation, c.sessionNumber
	c.lastToNode = max(s.now+s.reliableTransit(), c.lastToNode+lineMessageGap)
	s.after(c.lastToNode-s.now, func() {
		if !node.running || node.incarnation != incarnation {
			if c.sessionNumber == number && c.node == node {
				c.disconnect()
			}
			return
		}
		node.runDuring(incarnation, func() { node.step(func(time.Duration) { receive() }) })
	})
}

// sendToClient delivers a message of a node to the client, unless the session
// that it belongs to has ended.
func (c *lineClient) sendToClient(node *lineNode, session *linepool.Client, receive func()) {
	s, number := c.simulator, c.sessionNumber
	c.lastToClient = max(s.now+s.randomDuration(minTransit, maxTransit), c.lastToClient+lineMessageGap)
	s.after(c.lastToClient-s.now, func() {
		if c.sessionNumber == number && c.node == node && c.session == session {
			receive()
		}
	})
}

func (c *lineClient) deliverMessages(node *lineNode, session *linepool.Client, messages []lineproto.Message) {
	c.sendToClient(node, session, func() { c.receive(messages) })
}

func (c *lineClient) onSessionClosed(node *lineNode, session *linepool.Client) {
	c.sendToClient(node, session, c.disconnect)
}

func (c *lineClient) onNodeCrash(vanished bool) {
	if vanished {
		return
	}
	number := c.sessionNumber
	c.simulator.after(lineDisconnectDelay, func() {
		if c.sessionNumber == number {
			c.disconnect()
		}
	})
}

// receive handles the answer to the pending query. An answer whose last message
// does not report that the session is ready ends the session.
func (c *lineClient) receive(messages []lineproto.Message) {
	answer := readResponse(messages)
	last := messages[len(messages)-1]
	complete := last.Kind == lineproto.KindReady
	receive := c.pendingResponse
	if receive == nil {
		if complete || !answer.failed {
			c.fleet.checker.addViolation(RuleWire, "%s received %v without a pending query", c.name, messages)
		}
		return
	}
	c.pendingResponse = nil
	if !complete {
		c.closeSession()
		answer.disconnected = c.opened
		receive(answer)
		return
	}
	c.transactionState = last.State
	c.answers++
	receive(answer)
}

func readResponse(messages []lineproto.Message) response {
	var answer response
	for _, message := range messages {
		if message.Kind == lineproto.KindRow {
			answer.rows = append(answer.rows, message.Payload)
		}
		if message.Kind == lineproto.KindDone || message.Kind == lineproto.KindError {
			answer.payload, answer.code, answer.failed = message.Payload, message.Code, message.Kind == lineproto.KindError
		}
	}
	return answer
}

// sendQuery sends a query, and calls done with the response.
func (c *lineClient) sendQuery(text string, statement lineproto.Statement, transaction *clientTransaction, done func(*query, response)) {
	sent := c.newQuery(text, statement, transaction)
	c.pendingResponse = func(answer response) { done(sent, answer) }
	c.setTimeout(queryTimeout)
	node, session := c.node, c.session
	c.sendToNode(func() {
		if node.clients[session] == c {
			node.openQueries[session]++
			node.pool.Query(session, linepool.Query{ID: sent.id, Text: text, Statement: statement}, node.clock())
		}
	})
}

func (c *lineClient) newQuery(text string, statement lineproto.Statement, transaction *clientTransaction) *query {
	c.fleet.lastNumber++
	created := &query{
		id: fmt.Sprintf("%s-%d", c.name, c.fleet.lastNumber), client: c, action: statement.Action, text: text, values: joinValues(c.state.values),
		transaction: transaction, sentAt: c.simulator.now, ownPositions: maps.Clone(c.ownPositions),
	}
	if statement.Action == lineproto.ActionExecute {
		created.text = c.state.prepared[statement.Name] + statement.Arguments
	}
	if transaction != nil && runsAtInstance(statement.Action) {
		transaction.statements++
		created.continuation = transaction.statements > 1
	}
	c.fleet.checker.queries[created.id] = created
	return created
}

// runsAtInstance reports whether instances run the statements of an action, which
// read or write.
func runsAtInstance(action lineproto.Action) bool {
	return action == lineproto.ActionRead || action == lineproto.ActionWrite || action == lineproto.ActionExecute
}
