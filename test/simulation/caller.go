package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
	"tansyseam/test/history"
	"tansyseam/test/standin"
)

const (
	meanThinkTime       = 60 * time.Millisecond
	maxCallerStartDelay = 100 * time.Millisecond
	openTimeout         = time.Second
	openRetryDelay      = 50 * time.Millisecond
	// disconnectDelay is the time after which a caller detects that its node is
	// gone.
	disconnectDelay = time.Millisecond
	// A caller disconnects before one in operationsPerLeave operations on
	// average.
	operationsPerLeave = 60
	// callerRandomStream separates the random numbers of callers from those of
	// the simulator, which are drawn from the same seed.
	callerRandomStream = 99
)

// caller is a client of the product's own protocol. It has one session at a
// time, and sends one request after the other.
type caller struct {
	machine
	fleet       *fleet
	database    string
	stalenessMS int
	random      *rand.Rand
	// readOnly callers neither write nor begin transactions.
	readOnly bool
	// decks holds the shuffled numbers that drawFromDeck has not yet drawn, by
	// the size of the deck.
	decks map[int][]int

	// node is the peer of the connection, nil if there is no connection.
	// remoteAddress is the caller's address on it.
	node            *node
	remoteAddress   string
	connectionsMade int
	session         string
	requestsMade    int
	// setting is the value of the session's setting, prepared the text of its
	// prepared statement.
	setting  string
	prepared string
	// minPositions has, by database, the position that the caller's reads must
	// include. It outlasts the session.
	minPositions map[string]model.Position
	// disconnect ends the pending request as disconnected. It is nil if no
	// request is pending.
	disconnect func()
	// resetByRun is true if a fault reset the caller's own end of the
	// connection during the pending request.
	resetByRun bool
}

func (f *fleet) startCallers(seed uint64) {
	for index := range f.config.Callers {
		started := &caller{
			machine: machine{simulator: f.simulator, name: fmt.Sprintf("caller%d", index), running: true}, fleet: f,
			database: f.databases[index%len(f.databases)], stalenessMS: stalenessBoundsMS[index%len(stalenessBoundsMS)],
			random:       rand.New(rand.NewPCG(seed, uint64(index)+callerRandomStream)),
			minPositions: map[string]model.Position{}, decks: map[int][]int{}, readOnly: index%6 == 1 || index%6 == 2,
		}
		started.after(f.simulator.randomDuration(0, maxCallerStartDelay), started.run)
	}
}

func (c *caller) thinkTime() time.Duration {
	return time.Duration(c.random.ExpFloat64() * float64(meanThinkTime) / c.fleet.loadFactor)
}

// run performs the next operation. It opens a session first if there is none.
func (c *caller) run() {
	if c.node != nil && c.random.IntN(operationsPerLeave) == 0 {
		c.leave()
	}
	if c.session == "" {
		c.openSession(c.run)
		return
	}
	c.runOperation()
}

func (c *caller) runAfterThinking() { c.after(c.thinkTime(), c.run) }

// runAfterRetry performs the next operation after the retry delay of an answer
// and the think time.
func (c *caller) runAfterRetry(event standin.Event) {
	c.after(time.Duration(event.RetryAfterMS)*time.Millisecond+c.thinkTime(), c.run)
}

// leave closes the connection to the node, if there is one.
func (c *caller) leave() {
	if c.node == nil {
		return
	}
	node, remote := c.node, c.remoteAddress
	node.callers = slices.DeleteFunc(node.callers, func(other *caller) bool { return other == c })
	c.forgetSession()
	c.simulator.sendReliable(&node.machine, func() {
		node.step(func(now time.Duration) { node.pool.ClientLost(remote, now) })
	})
}

func (c *caller) forgetSession() {
	c.node, c.session, c.setting, c.prepared = nil, "", "", ""
}

func (c *caller) onNodeCrash(crashed *node, vanished bool) {
	if c.node != crashed {
		return
	}
	c.forgetSession()
	if c.disconnect != nil && !vanished {
		c.after(disconnectDelay, c.disconnect)
	}
}

// isConnectedBy reports whether the caller still uses the connection to the node
// with the remote address.
func (c *caller) isConnectedBy(node *node, remote string) bool {
	return c.node == node && c.remoteAddress == remote
}

// connect opens a connection to a random node and returns the node. It returns
// nil if that node accepts no connections.
func (c *caller) connect() *node {
	c.leave()
	chosen := c.fleet.nodes[c.random.IntN(len(c.fleet.nodes))]
	if !chosen.running || chosen.stopping || c.fleet.removedNodes[chosen.name] {
		return nil
	}
	c.connectionsMade++
	c.node, c.remoteAddress = chosen, fmt.Sprintf("%s#%d", c.name, c.connectionsMade)
	chosen.callers = append(chosen.callers, c)
	return chosen
}

// openSession tries to open a session. It calls next whether or not that
// succeeds.
func (c *caller) openSession(next func()) {
	node := c.connect()
	if node == nil {
		c.after(openRetryDelay, next)
		return
	}
	remote := c.remoteAddress
	finished, sent := false, c.simulator.now
	finish := func(session string, sequence uint64, retryAfter time.Duration) {
		if finished {
			return
		}
		finished = true
		c.disconnect = nil
		if session != "" && c.isConnectedBy(node, remote) {
			c.onSessionOpened(session, sequence, sent)
			next()
			return
		}
		c.leave()
		c.after(retryAfter, next)
	}
	c.disconnect = func() { finish("", 0, openRetryDelay) }
	c.after(openTimeout, c.disconnect)
	minPositions, binding := maps.Clone(c.minPositions), bindingName(c.database, c.stalenessMS)
	c.simulator.sendReliable(&node.machine, func() {
		node.step(func(now time.Duration) {
			opened, refusal, _ := node.pool.OpenSession(binding, remote, minPositions, now)
			c.simulator.sendReliable(&c.machine, func() {
				finish(opened.ID, opened.BindingSequence, refusal.RetryAfter+c.thinkTime())
			})
		})
	})
}

func (c *caller) onSessionOpened(session string, sequence uint64, sent time.Duration) {
	c.session, c.requestsMade = session, 0
	event := c.newEvent(history.KindOpen)
	event.SentAt, event.AnsweredAt = int64(sent), int64(c.simulator.now)
	event.Outcome, event.Sequence = history.OutcomeDone, sequence
	c.fleet.recorder.addEvent(event)
}

// withSession calls next once there is a session.
func (c *caller) withSession(next func()) {
	if c.session != "" {
		next()
		return
	}
	c.openSession(func() { c.withSession(next) })
}

// newEvent returns the event of a request that is sent now.
func (c *caller) newEvent(kind string) standin.Event {
	event := standin.Event{
		Caller: c.name, Session: c.session, Kind: kind, Database: c.database, FreshnessMS: c.stalenessMS,
		SentAt: int64(c.simulator.now), ExpectedSetting: c.setting,
	}
	if c.node != nil {
		event.Address = c.node.name
	}
	return event
}

// newStatementEvent returns the event of a statement. Reads have no request ID.
func (c *caller) newStatementEvent(kind, requestID, text string) standin.Event {
	event := c.newEvent(kind)
	event.RequestID, event.Text = requestID, text
	return event
}

func (c *caller) nextRequestID() string {
	c.requestsMade++
	return fmt.Sprintf("%s.%d", c.session, c.requestsMade)
}

// isSessionUsable reports whether the session is still usable after a result.
func isSessionUsable(result httppool.Result) bool {
	return !result.SessionClosed && result.Cause != httppool.ErrNoSession && result.Cause != httppool.ErrNoBinding
}
