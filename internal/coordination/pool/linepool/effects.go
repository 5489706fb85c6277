package linepool

import (
	"tansyseam/internal/coordination/pool"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// Effects that the machine asks the program around it to carry out.
type (
	// Effect is any of the types below.
	Effect = pool.Effect
	// Report asks for a report of Observations to the control primary at once.
	Report = pool.Report
	// WriterChanged announces that a database's writer role has changed.
	WriterChanged = pool.WriterChanged
	// BindingsActivated announces that a binding set has come into force.
	BindingsActivated = pool.BindingsActivated

	// Respond sends messages to a client, in one write.
	Respond struct {
		Client   *Client
		Messages []lineproto.Message
	}
	// CloseClient closes a client's connection.
	CloseClient struct{ Client *Client }
	// OpenConn opens a connection to an instance of a database. The name of the
	// instance is part of the handshake: another instance at the same address
	// refuses it.
	OpenConn struct {
		Conn                        *Conn
		Address, Database, Instance string
	}
	// Send sends commands on a connection, in one write.
	Send struct {
		Conn     *Conn
		Commands []Command
	}
	// CloseConn closes a connection to an instance.
	CloseConn struct{ Conn *Conn }
)

// CommandKind tells the commands that the node sends to an instance apart.
type CommandKind int

// Kinds of Command.
const (
	// CommandText is a client's statement, as the client wrote it.
	CommandText CommandKind = iota
	// CommandBegin begins a transaction, CommandBeginReadOnly one without
	// writes.
	CommandBegin
	CommandBeginReadOnly
	// CommandRollback rolls the open transaction back.
	CommandRollback
	// CommandReset clears the session's variables and prepared statements.
	CommandReset
	// CommandSet sets the variable Name to Value.
	CommandSet
	// CommandPrepare prepares the statement Value under Name.
	CommandPrepare
	// CommandExecute runs the prepared statement Name with the arguments Value.
	CommandExecute
)

// Command is one message to an instance.
type Command struct {
	Kind CommandKind
	// ID is that of the client's query; it is empty for the node's own
	// commands.
	ID string
	// Text is the statement of a CommandText.
	Text string
	// Name and Value are the arguments of the other kinds.
	Name, Value string
	// MinPosition is the log position that the instance must have reached; the
	// zero position asks for none.
	MinPosition model.Position
}
