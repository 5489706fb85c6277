package linepool

import (
	"fmt"
	"maps"
	"slices"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// Degrees of mismatch between a connection's session state and a client's. A
// lower value is better.
const (
	// mismatchNone means that the connection has the client's variables.
	mismatchNone = iota
	// mismatchValues means that some variables still have to be set.
	mismatchValues
	// mismatchNames means that the connection has a variable that the client
	// does not have, so it must be reset.
	mismatchNames
	// mismatchUncertain means that the connection's state is unknown, so it
	// must be reset.
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

// sessionCommands returns the commands that set a connection's variables to the
// client's, and records them as carried out. Inside a transaction it never
// resets the connection, because a client can add variables there but not
// remove any.
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
// connection under a name chosen by the node. It returns nil if the request
// executes no prepared statement, or if the statement is already prepared
// there.
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

// statementCommand returns the command that runs a request's statement.
func statementCommand(request *Request, conn *Conn, minPosition model.Position) Command {
	query := request.query
	if query.Statement.Action == lineproto.ActionExecute {
		name := conn.prepared[request.prepared.text]
		return Command{Kind: CommandExecute, ID: query.ID, Name: name, Value: query.Statement.Arguments, MinPosition: minPosition}
	}
	return Command{Kind: CommandText, ID: query.ID, Text: query.Text, MinPosition: minPosition}
}
