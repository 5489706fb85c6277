package simulation

import (
	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// sessionCommands has the functions that run the commands which only change the
// session.
var sessionCommands = map[linepool.CommandKind]func(*serverSession, linepool.Command) lineproto.Message{
	linepool.CommandReset:         (*serverSession).reset,
	linepool.CommandSet:           (*serverSession).set,
	linepool.CommandPrepare:       (*serverSession).prepare,
	linepool.CommandRollback:      (*serverSession).rollBack,
	linepool.CommandBegin:         (*serverSession).begin,
	linepool.CommandBeginReadOnly: (*serverSession).beginReadOnly,
}

func (s *serverSession) reset(linepool.Command) lineproto.Message {
	if !s.instance.fleet.defects.IgnoredResets {
		s.state = newSessionState()
	}
	return doneMessage(noPayload)
}

func (s *serverSession) set(command linepool.Command) lineproto.Message {
	s.state.values[command.Name] = command.Value
	return doneMessage(noPayload)
}

func (s *serverSession) prepare(command linepool.Command) lineproto.Message {
	s.state.prepared[command.Name] = command.Value
	return doneMessage(noPayload)
}

func (s *serverSession) rollBack(linepool.Command) lineproto.Message {
	if s.transaction == nil {
		return errorMessage(lineproto.CodeMalformed, "MALFORMED")
	}
	s.undoTransaction()
	return doneMessage(noPayload)
}

func (s *serverSession) undoTransaction() {
	if s.stateBefore != nil {
		s.state = *s.stateBefore
	}
	s.transaction, s.stateBefore = nil, nil
}

func (s *serverSession) begin(command linepool.Command) lineproto.Message {
	if s.transaction == nil && s.instance.role != model.RolePrimary {
		return s.readOnlyMessage()
	}
	return s.beginTransaction(command, false)
}

func (s *serverSession) beginReadOnly(command linepool.Command) lineproto.Message {
	return s.beginTransaction(command, true)
}

func (s *serverSession) beginTransaction(command linepool.Command, readOnly bool) lineproto.Message {
	if s.transaction != nil {
		return errorMessage(lineproto.CodeMalformed, "MALFORMED")
	}
	if s.instance.position().IsBefore(command.MinPosition) {
		return errorMessage(lineproto.CodeLagging, "LAGGING")
	}
	s.transaction = &lineTransaction{readOnly: readOnly, term: s.instance.term, logSize: len(s.instance.entries)}
	s.stateBefore = s.state.clone()
	return doneMessage(noPayload)
}
