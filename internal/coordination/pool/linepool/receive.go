package linepool

import (
	"time"

	"tansyseam/internal/state/lineproto"
)

// answer holds the messages of one answer of an instance, up to its ready message.
type answer struct {
	// started is true once a message of the answer has arrived. requested is true if
	// the instance owed an answer then.
	started   bool
	requested bool
	// interrupted is true if rows of the answer were not kept, because the instance
	// owed no answer when they arrived.
	interrupted bool
	rows        []lineproto.Message
	result      lineproto.Message
	hasResult   bool
}

// hasStamp reports whether the result has a stamp.
func (a answer) hasStamp() bool {
	return a.result.Kind == lineproto.KindDone && a.result.Payload != lineproto.NoStamp
}

// Received handles a message from an instance. Messages must be passed in the order in
// which the instance sent them.
//
// No message names the statement that it answers, and an instance may send an answer
// again, at any later time. An answer is therefore accepted only if it is proven not to
// be a repetition:
//   - The result of a statement has a stamp that the connection has not delivered
//     within repetitionWindow. Older repetitions are not recognized.
//   - The connection has not delivered the same error, or has since answered a statement
//     that was sent more than repetitionWindow later.
//   - A BEGIN is acknowledged inside a transaction, at a later position than all
//     acknowledgments inside transactions within repetitionWindow.
//   - The acknowledgments of other commands of the node's own prove nothing, and
//     nothing rests on them: the instance runs commands in their order.
//
// A message that repeats one that the connection has delivered is dropped. Any other
// message that nothing has requested, or that is not proven, closes the connection. A row
// that is sent again alone is recognized only beside more rows than the instance has
// returned before.
func (m *Machine) Received(conn *Conn, message lineproto.Message, now time.Duration) {
	if conn.state == connClosed {
		return
	}
	if conn.state == connOpening {
		m.onOpened(conn, message, now)
		return
	}
	conn.instance.lastResponse, conn.instance.refusals = now, 0
	handler, found := instanceMessageHandlers[message.Kind]
	if !found {
		m.closeMalformed(conn, now)
		return
	}
	if !conn.incoming.started {
		conn.incoming = answer{started: true, requested: len(conn.pending) > 0}
	}
	handler(m, conn, message, now)
}

var instanceMessageHandlers = map[lineproto.Kind]func(m *Machine, conn *Conn, message lineproto.Message, now time.Duration){
	lineproto.KindRow:   (*Machine).onRow,
	lineproto.KindDone:  (*Machine).onDone,
	lineproto.KindError: (*Machine).onError,
	lineproto.KindReady: (*Machine).onReady,
}

func (m *Machine) closeMalformed(conn *Conn, now time.Duration) {
	m.Count("answers_malformed", 1)
	m.ConnLost(conn, now)
}

func (m *Machine) closeUnasked(conn *Conn, now time.Duration) {
	m.Count("answers_unasked", 1)
	m.ConnLost(conn, now)
}

// closeUnproven closes a connection with an answer that may be a repetition.
func (m *Machine) closeUnproven(conn *Conn, now time.Duration) {
	m.Count("answers_unproven", 1)
	m.ConnLost(conn, now)
}

func (m *Machine) onRow(conn *Conn, message lineproto.Message, now time.Duration) {
	if conn.incoming.hasResult {
		m.closeMalformed(conn, now)
		return
	}
	if !conn.incoming.requested {
		conn.incoming.interrupted = true
		return
	}
	conn.incoming.rows = append(conn.incoming.rows, message)
}

func (m *Machine) onDone(conn *Conn, message lineproto.Message, now time.Duration) {
	if message.Payload == lineproto.NoStamp {
		m.onAcknowledgment(conn, message, now)
		return
	}
	incoming := &conn.incoming
	rows, repeated := conn.history.find(message.Payload)
	if message.Payload == "" || incoming.hasResult || (repeated && incoming.conflictsWith(rows)) {
		m.closeMalformed(conn, now)
		return
	}
	if repeated {
		m.dropRepeated(conn)
		return
	}
	incoming.result, incoming.hasResult = message, true
}

// conflictsWith reports whether rows have arrived that are not those before a repeated
// result, of which the hash is given. They may belong to another answer.
func (a *answer) conflictsWith(rows uint64) bool {
	return len(a.rows) > 0 && !a.interrupted && hashRows(a.rows) != rows
}

// dropRepeated drops the messages of an answer that the connection has delivered before.
// Its ready message may follow.
func (m *Machine) dropRepeated(conn *Conn) {
	m.Count("answers_repeated", 1)
	conn.incoming = answer{}
	conn.repeatedReady = true
}

// onAcknowledgment handles a result without a stamp. It is dropped if no command waits
// for one and another was received before, of which it may be a repetition.
func (m *Machine) onAcknowledgment(conn *Conn, message lineproto.Message, now time.Duration) {
	incoming := &conn.incoming
	if conn.acknowledged && (!conn.awaitsAcknowledgment() || incoming.hasResult) {
		m.Count("answers_repeated", 1)
		conn.dropRepeatedResult()
		return
	}
	if incoming.hasResult {
		m.closeMalformed(conn, now)
		return
	}
	incoming.result, incoming.hasResult = message, true
}

// dropRepeatedResult drops a result without a stamp. Its ready message may follow, unless
// the result repeats that of the same answer. Rows that have arrived may belong to
// the answer to come.
func (c *Conn) dropRepeatedResult() {
	if c.incoming.hasResult {
		return
	}
	c.repeatedReady = true
	if len(c.incoming.rows) == 0 {
		c.incoming = answer{}
	}
}

// expectAnswer prepares for the answer to commands that are sent now. Rows that arrived
// before do not belong to it.
func (c *Conn) expectAnswer() {
	if c.incoming.started && !c.incoming.hasResult {
		c.incoming = answer{started: true, requested: true, interrupted: true}
	}
}

// awaitsAcknowledgment reports whether the next answer that the instance owes is that to
// a command which is acknowledged without a stamp.
func (c *Conn) awaitsAcknowledgment() bool {
	return len(c.pending) > 0 && (c.pending[0] == nil || !c.pending[0].statementSent)
}

func (m *Machine) onError(conn *Conn, message lineproto.Message, now time.Duration) {
	incoming := &conn.incoming
	if incoming.hasResult {
		m.closeMalformed(conn, now)
		return
	}
	repeated := conn.errors.has(message.Payload)
	if !incoming.requested && repeated {
		m.dropRepeated(conn)
		return
	}
	if !incoming.requested {
		m.closeUnasked(conn, now)
		return
	}
	m.Count("instance_errors_"+message.Code.String(), 1)
	incoming.result, incoming.hasResult = message, true
}

// onReady handles the last message of an answer.
func (m *Machine) onReady(conn *Conn, message lineproto.Message, now time.Duration) {
	received := conn.incoming
	if !received.hasResult {
		m.onReadyAlone(conn, message, now)
		return
	}
	conn.incoming = answer{}
	if !received.requested {
		m.closeUnasked(conn, now)
		return
	}
	if received.result.Kind == lineproto.KindError {
		m.onFailed(conn, received, message, now)
		return
	}
	if !received.hasStamp() {
		m.onAcknowledged(conn, received, message, now)
		return
	}
	m.onStamped(conn, received, message, now)
}

// onReadyAlone handles a ready message without a result. It is dropped if it may be a
// repetition: of the handshake's answer, or of the end of another answer.
func (m *Machine) onReadyAlone(conn *Conn, message lineproto.Message, now time.Duration) {
	if !conn.repeatedReady && !conn.history.hasReady(message) {
		m.closeMalformed(conn, now)
		return
	}
	conn.repeatedReady = false
	if len(conn.incoming.rows) == 0 {
		conn.incoming = answer{}
	}
}
