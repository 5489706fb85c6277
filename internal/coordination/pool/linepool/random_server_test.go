package linepool

import (
	"maps"
	"strings"

	"tansyseam/internal/state/lineproto"
)

// noRefusal is passed instead of a refusal code to a server that runs its next
// command.
const noRefusal = lineproto.CodeOther

// simulatedServer is the instance's end of one connection. It runs the commands
// that it receives.
type simulatedServer struct {
	conn          *Conn
	queue         []Command
	session       serverSession
	inTransaction bool
	failed        bool
	hasWrites     bool
	group         *writeGroup
	accepted      bool
	// outbox holds the messages of answers that have not arrived yet.
	outbox []lineproto.Message
	// sessionAtBegin is the session state at the beginning of the transaction.
	sessionAtBegin *serverSession
}

// serverSession is the session state of one connection.
type serverSession struct {
	variables map[string]string
	prepared  map[string]string
}

func newServerSession() serverSession {
	return serverSession{variables: map[string]string{}, prepared: map[string]string{}}
}

func (s serverSession) clone() *serverSession {
	return &serverSession{variables: maps.Clone(s.variables), prepared: maps.Clone(s.prepared)}
}

func (server *simulatedServer) state() byte {
	if server.failed {
		return lineproto.StateFailed
	}
	if server.inTransaction {
		return lineproto.StateInTransaction
	}
	return lineproto.StateIdle
}

type commandRunner func(s *simulation, server *simulatedServer, command Command, refusal lineproto.Code) []lineproto.Message

var commandRunners = map[CommandKind]commandRunner{
	CommandReset: func(_ *simulation, server *simulatedServer, _ Command, _ lineproto.Code) []lineproto.Message {
		server.session = newServerSession()
		return []lineproto.Message{done("-")}
	},
	CommandSet: func(_ *simulation, server *simulatedServer, command Command, _ lineproto.Code) []lineproto.Message {
		server.session.variables[command.Name] = command.Value
		return []lineproto.Message{done("-")}
	},
	CommandPrepare: func(_ *simulation, server *simulatedServer, command Command, _ lineproto.Code) []lineproto.Message {
		server.session.prepared[command.Name] = command.Value
		return []lineproto.Message{done("-")}
	},
	CommandRollback: func(s *simulation, server *simulatedServer, _ Command, _ lineproto.Code) []lineproto.Message {
		s.rollBack(server)
		return []lineproto.Message{done("-")}
	},
	CommandBegin:         (*simulation).beginTransaction,
	CommandBeginReadOnly: (*simulation).beginTransaction,
	CommandText:          (*simulation).runStatement,
	CommandExecute:       (*simulation).runStatement,
}

// runNext runs the oldest command at a server and returns the answer. A begin
// or a statement is refused with the given code, unless the code is noRefusal.
func (s *simulation) runNext(server *simulatedServer, refusal lineproto.Code) []lineproto.Message {
	command := server.queue[0]
	server.queue = server.queue[1:]
	answer := commandRunners[command.Kind](s, server, command, refusal)
	return append(answer, s.readyIn(server.state()))
}

func (s *simulation) beginTransaction(server *simulatedServer, _ Command, refusal lineproto.Code) []lineproto.Message {
	if server.inTransaction {
		s.recordViolation("begin inside a transaction")
	}
	if refusal != noRefusal {
		return []lineproto.Message{failure(refusal)}
	}
	server.inTransaction, server.sessionAtBegin = true, server.session.clone()
	return []lineproto.Message{done("-")}
}

// rollBack ends the transaction, if any. It undoes the transaction's changes of
// the session state at random, because some servers undo them and others keep
// them.
func (s *simulation) rollBack(server *simulatedServer) {
	if s.chance(0.5) && server.sessionAtBegin != nil {
		server.session = *server.sessionAtBegin
	}
	server.endTransaction()
	server.failed, server.sessionAtBegin = false, nil
}

func (server *simulatedServer) endTransaction() {
	server.inTransaction, server.hasWrites, server.group = false, false, nil
}

// runStatement runs a client's statement, and checks that the connection is in
// the state that the client expects.
func (s *simulation) runStatement(server *simulatedServer, command Command, refusal lineproto.Code) []lineproto.Message {
	client, pending, isNext := s.findPending(command.ID)
	if client == nil {
		s.recordViolation("a statement whose ID no client has sent: %s", command.ID)
		return []lineproto.Message{failure(lineproto.CodeOther)}
	}
	write := false
	if isNext {
		s.checkConnState(server, client, command.ID)
		write = pending.query.Statement.Action == lineproto.ActionWrite
	}
	if command.Kind == CommandExecute {
		text, found := server.session.prepared[command.Name]
		if !found {
			return []lineproto.Message{failure(lineproto.CodeNotFound)}
		}
		write = strings.HasPrefix(text, "w")
		if expected := client.prepared[pending.query.Statement.Name]; isNext && expected != text {
			s.recordViolation("%s runs %s, not %s", command.ID, text, expected)
		}
	}
	commit := command.Text == "commit"
	if refusal != noRefusal {
		return s.refuse(server, commit, refusal)
	}
	if commit {
		s.commitAt(server)
	} else if write {
		s.writeAt(server, pending.group)
	}
	return []lineproto.Message{row("r" + command.ID), done(resultOf(command.ID))}
}

// checkConnState checks that a connection is in the client's transaction, if
// any, and has the client's variables.
func (s *simulation) checkConnState(server *simulatedServer, client *simulatedClient, queryID string) {
	inTransaction := client.state == lineproto.StateInTransaction
	if inTransaction != server.inTransaction {
		s.recordViolation("%s runs with a transaction open: %v, its client expects %v", queryID, server.inTransaction, inTransaction)
	}
	if !maps.Equal(server.session.variables, client.variables) {
		s.recordViolation("%s runs with %v, not %v", queryID, server.session.variables, client.variables)
	}
	if !server.inTransaction {
		return
	}
	if server.group == nil {
		server.group = client.group
	}
	if server.group != client.group {
		s.recordViolation("%s runs inside another client's transaction", queryID)
	}
}

func (s *simulation) refuse(server *simulatedServer, commit bool, code lineproto.Code) []lineproto.Message {
	if code == lineproto.CodeFailed && server.inTransaction {
		server.failed = true
	}
	if commit {
		s.rollBack(server)
	}
	return []lineproto.Message{failure(code)}
}

func (s *simulation) commitAt(server *simulatedServer) {
	if s.servesPositions {
		s.logIndex++
	}
	if group := server.group; group != nil {
		group.applied = server.hasWrites
		if group.noEffectResponse != "" && server.hasWrites {
			s.recordViolation("a group was applied after the response %s", group.noEffectResponse)
		}
	}
	server.endTransaction()
}

// writeAt runs a write, which advances the position if it commits at once.
func (s *simulation) writeAt(server *simulatedServer, single *writeGroup) {
	if s.servesPositions && !server.inTransaction {
		s.logIndex++
	}
	server.write(single)
}

// write counts a write for the open transaction, or applies it at once outside
// a transaction. single is the group of the write alone.
func (server *simulatedServer) write(single *writeGroup) {
	if server.inTransaction {
		server.hasWrites = true
		if server.group != nil {
			server.group.writes++
		}
		return
	}
	if single != nil {
		single.writes++
		single.applied = true
	}
}
