package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// forward sends a request on a connection, after the commands that set up the
// client's session state there. The first statement of a transaction is sent
// only after the instance has answered the BEGIN command, because it must never
// run outside the transaction.
func (m *Machine) forward(request *Request, conn *Conn, now time.Duration) {
	database := m.database(request.binding.Database)
	database.dequeue(request)
	transaction := request.transaction
	begins := request.begins()
	commands := m.forwardCommands(request, conn, begins)
	if begins {
		conn.sessionChanged = false
		transaction.conn, conn.owner, conn.term = conn, request.client, request.term
	}
	if transaction != nil && request.write {
		transaction.hasWrites = true
	}
	attempt := &requestAttempt{request: request, conn: conn, sentAt: now, statementSent: !begins}
	request.attempts = append(request.attempts, attempt)
	request.phase = phaseInFlight
	conn.instance.window.Acquire()
	database.inFlight = append(database.inFlight, request)
	m.Count("passed_on", 1)
	m.Count("waited_us", (now - request.arrivedAt).Microseconds())
	m.send(conn, attempt, commands, now)
}

// forwardCommands returns the commands to send for a request: those for the
// session state, the preparation of its statement if needed, and then the
// statement or the BEGIN command of its transaction.
func (m *Machine) forwardCommands(request *Request, conn *Conn, begins bool) []Command {
	inTransaction := request.transaction != nil && !begins
	commands := m.sessionCommands(conn, request.client, inTransaction)
	commands = append(commands, prepareCommands(request, conn)...)
	if begins {
		return append(commands, beginCommand(request))
	}
	return append(commands, statementCommand(request, conn, request.statementMinPosition()))
}

// statementMinPosition returns the position that the instance must have reached
// to run the statement. It is zero in a transaction, where the BEGIN command
// has already required the position.
func (request *Request) statementMinPosition() model.Position {
	if request.transaction != nil {
		return model.Position{}
	}
	return request.minPosition
}

// send sends commands on a connection. The answer to the last one belongs to
// attempt, which is nil for the node's own commands.
func (m *Machine) send(conn *Conn, attempt *requestAttempt, commands []Command, now time.Duration) {
	if len(conn.pending) > 0 {
		m.Count("sent_before_answer", 1)
	}
	conn.expectAnswer()
	for range len(commands) - 1 {
		conn.pending = append(conn.pending, nil)
	}
	conn.pending = append(conn.pending, attempt)
	if conn.state == connIdle && attempt == nil {
		conn.instance.removeIdle(conn)
	}
	conn.state, conn.attempt, conn.sentAt = connBusy, attempt, now
	m.Emit(Send{Conn: conn, Commands: commands})
}

func (i *instanceState) removeIdle(conn *Conn) {
	if index := slices.Index(i.idle, conn); index >= 0 {
		i.idle = slices.Delete(i.idle, index, index+1)
	}
}
