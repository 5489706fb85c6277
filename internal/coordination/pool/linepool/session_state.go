package linepool

import (
	"fmt"
	"maps"
	"slices"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// How far a connection's session state is from a client's; less is better.
const (
	// mismatchNone: the connection has the client's variables.
	mismatchNone = iota
	// mismatchValues: some variables are still to be set.
	mismatchValues
	// mismatchNames: it has a variable that the client has not, and is reset.
	mismatchNames
	// mismatchUncertain: its state is not known, and it is reset.
	mismatchUncertain
)

func sessionMismatch(conn *Conn, client *Client) int {
	if conn.dirty {
		return mismatchUncertain
	}
	mismatch := mismatchNone
	for name, value := range conn.variables {
		wanted, found := client.variables[name]
		if !found {
			return mismatchNames
		}
		if wanted != value {
			mismatch = mismatchValues
		}
	}
	if len(client.variables) > len(conn.variables) {
		mismatch = mismatchValues
	}
	return mismatch
}

// sessionCommands returns the commands that bring a connection to a client's
// variables, and notes them as carried out. Inside a transaction nothing is
// reset: the client's variables only grow there.
func (m *Machine) sessionCommands(conn *Conn, client *Client, inTransaction bool) []Command {
	var commands []Command
	if !inTransaction && m.needsReset(conn, client) {
		commands = append(commands, Command{Kind: CommandReset})
		conn.variables, conn.prepared = nil, nil
		conn.dirty, conn.sessionChanged = false, false
		m.Count("connections_reset", 1)
	}
	for _, name := range slices.Sorted(maps.Keys(client.variables)) {
		value := client.variables[name]
		if current, found := conn.variables[name]; found && current == value {
			continue
		}
		if conn.variables == nil {
			conn.variables = map[string]string{}
		}
		conn.variables[name] = value
		conn.sessionChanged = true
		commands = append(commands, Command{Kind: CommandSet, Name: name, Value: value})
	}
	return commands
}

func (m *Machine) needsReset(conn *Conn, client *Client) bool {
	if conn.dirty || len(conn.prepared) > m.timing.MaxPrepared {
		return true
	}
	for name := range conn.variables {
		if _, found := client.variables[name]; !found {
			return true
		}
	}
	return false
}

// prepareCommands returns the command that prepares a request's statement on a
// connection, under a name of the node's own, where it is not prepared yet.
func prepareCommands(request *Request, conn *Conn) []Command {
	if request.query.Statement.Action != lineproto.ActionExecute {
		return nil
	}
	text := request.prepared.text
	if _, found := conn.prepared[text]; found {
		return nil
	}
	if conn.prepared == nil {
		conn.prepared = map[string]string{}
	}
	conn.preparedCount++
	name := fmt.Sprintf("p%d", conn.preparedCount)
	conn.prepared[text] = name
	conn.sessionChanged = true
	return []Command{{Kind: CommandPrepare, Name: name, Value: text}}
}

func beginCommand(request *Request) Command {
	kind := CommandBegin
	if request.transaction.readOnly {
		kind = CommandBeginReadOnly
	}
	return Command{Kind: kind, MinPosition: request.minPosition}
}

// statementCommand returns the command that carries a request's statement.
func statementCommand(request *Request, conn *Conn, minPosition model.Position) Command {
	query := request.query
	if query.Statement.Action == lineproto.ActionExecute {
		name := conn.prepared[request.prepared.text]
		return Command{Kind: CommandExecute, ID: query.ID, Name: name, Value: query.Statement.Arguments, MinPosition: minPosition}
	}
	return Command{Kind: CommandText, ID: query.ID, Text: query.Text, MinPosition: minPosition}
}
