package simulation

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
)

const (
	lineLostAnswerProbability = 0.3
	// repeatedAnswerProbability is the probability that an instance which repeats
	// answers sends an answer again, up to maxRepetitionDelay later.
	repeatedAnswerProbability = 0.3
	maxRepetitionDelay        = 60 * time.Millisecond
	// discardProbability is the probability that an instance discards the
	// queued commands of a session that its peer has closed. The
	// instance draws at once, and then again after each peerCloseCheckDelay.
	discardProbability  = 0.5
	peerCloseCheckDelay = 20 * time.Millisecond
)

// lineTransaction is the instance's state of a transaction.
type lineTransaction struct {
	readOnly bool
	// failed is true after a refused statement. Clients may only roll the
	// transaction back then.
	failed bool
	term   uint64
	// logSize is the length of the log that is visible to the transaction.
	logSize  int
	writeIDs []string
	// owner is the client's transaction.
	owner *clientTransaction
}

// sessionState is the state that a reset clears.
type sessionState struct {
	values map[string]string
	// prepared has the texts of prepared statements.
	prepared map[string]string
}

func newSessionState() sessionState {
	return sessionState{values: map[string]string{}, prepared: map[string]string{}}
}

func (s sessionState) clone() *sessionState {
	return &sessionState{values: maps.Clone(s.values), prepared: maps.Clone(s.prepared)}
}

// serverSession is the instance's end of a connection. It runs one command after
// the other.
type serverSession struct {
	instance   *lineInstance
	connection *lineConnection
	state      sessionState
	// stateBefore is the state that a rollback restores; nil outside of a
	// transaction.
	stateBefore *sessionState
	transaction *lineTransaction
	queue       []linepool.Command
	busy        bool
	closed      bool
	// committing is true while a commit waits for a replica.
	committing bool
	// releaseSlot frees the slot that a statement of the session holds; nil if
	// there is none.
	releaseSlot func()
}

func newServerSession(instance *lineInstance, connection *lineConnection) *serverSession {
	return &serverSession{instance: instance, connection: connection, state: newSessionState()}
}

func (s *serverSession) close() {
	if s.closed {
		return
	}
	s.closed, s.transaction = true, nil
	s.instance.sessions = slices.DeleteFunc(s.instance.sessions, func(other *serverSession) bool { return other == s })
	if s.releaseSlot != nil {
		s.releaseSlot()
	}
}

// closeFromPeer closes the session after its peer has closed the connection.
// Commands that arrived before may still run.
func (s *serverSession) closeFromPeer() {
	if s.closed {
		return
	}
	if s.instance.simulator.chance(discardProbability) {
		s.queue = nil
	}
	if len(s.queue) == 0 && !s.busy {
		s.close()
		return
	}
	s.instance.after(peerCloseCheckDelay, s.closeFromPeer)
}

// transactionState returns the transaction state that each answer ends with.
func (s *serverSession) transactionState() byte {
	if s.transaction == nil {
		return lineproto.StateIdle
	}
	if s.transaction.failed {
		return lineproto.StateFailed
	}
	return lineproto.StateInTransaction
}

// answer sends messages, and then the message that the session is ready. A fault
// may lose some of them together with the connection.
func (s *serverSession) answer(messages ...lineproto.Message) {
	instance := s.instance
	messages = append(messages, lineproto.Message{Kind: lineproto.KindReady, State: s.transactionState(), Position: instance.position()})
	if instance.answersToLose > 0 && instance.simulator.chance(lineLostAnswerProbability) {
		instance.answersToLose--
		instance.simulator.record("%s loses an answer", instance.name)
		s.connection.deliverMessages(messages[:instance.simulator.random.IntN(len(messages))]...)
		s.close()
		s.connection.breakOff()
		return
	}
	s.connection.deliverMessages(messages...)
	if instance.repeatsAnswers && instance.simulator.chance(repeatedAnswerProbability) {
		instance.after(instance.simulator.randomDuration(0, maxRepetitionDelay), func() { s.repeat(messages) })
	}
}

// repeat sends an answer again.
func (s *serverSession) repeat(messages []lineproto.Message) {
	if !s.closed {
		s.connection.deliverRepeated(messages...)
	}
}

func doneMessage(payload string) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindDone, Payload: payload}
}

func errorMessage(code lineproto.Code, payload string) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindError, Code: code, Payload: payload}
}

// receive queues commands and runs them.
func (s *serverSession) receive(commands []linepool.Command) {
	s.queue = append(s.queue, commands...)
	s.runNext()
}

// runNext runs the next command. A command that only changes the session runs at
// once, any other command in a slot of the instance.
func (s *serverSession) runNext() {
	if s.busy || s.closed || len(s.queue) == 0 {
		return
	}
	command := s.queue[0]
	s.queue = s.queue[1:]
	if run, local := sessionCommands[command.Kind]; local {
		s.answer(run(s, command))
		s.runNext()
		return
	}
	s.busy = true
	instance := s.instance
	accepted := instance.runInSlot(func(release func()) {
		s.releaseSlot = release
		if s.closed {
			release()
			return
		}
		service := instance.simulator.randomDuration(instance.serviceTime/2, instance.serviceTime*3/2)
		instance.after(service, func() { s.runStatement(command) })
	})
	if !accepted {
		s.fail(lineproto.CodeBusy, "BUSY")
	}
}

// finish ends a statement with its answer, and continues with the next command.
func (s *serverSession) finish(messages ...lineproto.Message) {
	s.busy, s.committing = false, false
	if s.releaseSlot != nil {
		release := s.releaseSlot
		s.releaseSlot = nil
		release()
	}
	if s.closed {
		return
	}
	s.answer(messages...)
	s.runNext()
}

func (s *serverSession) fail(code lineproto.Code, payload string) {
	s.finish(errorMessage(code, payload))
}

func (s *serverSession) readOnlyMessage() lineproto.Message {
	return errorMessage(lineproto.CodeReadOnly, "READONLY "+s.instance.name)
}
