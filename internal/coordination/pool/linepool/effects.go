package linepool

import (
	"tansyseam/internal/coordination/pool"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// Effects that the program around the machine has to carry out.
type (
	// Effect is any of the types below.
	Effect = pool.Effect
	// Report requests that Observations be reported to the control primary at
	// once.
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
	// CloseClient closes a client's connection after the messages to the client.
	// Requested is true if the client has asked for it and reads nothing more.
	CloseClient struct {
		Client    *Client
		Requested bool
	}
	// OpenConn opens a connection to an instance of a database. The handshake
	// contains the name of the instance, so that another instance at the same
	// address refuses the connection.
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

// CommandKind is the kind of a command that the node sends to an instance.
type CommandKind int

// Kinds of Command.
const (
	// CommandText is a client's statement, as the client wrote it.
	CommandText CommandKind = iota
	// CommandBegin begins a transaction. CommandBeginReadOnly begins a read-only
	// transaction.
	CommandBegin
	CommandBeginReadOnly
	// CommandRollback rolls back the open transaction.
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
	// ID is the ID of the client's query; it is empty for the node's own
	// commands.
	ID string
	// Text is the statement of a CommandText.
	Text string
	// Name and Value are the arguments of the other kinds.
	Name, Value string
	// MinPosition is the log position that the instance must have reached; the
	// zero position means that none is required.
	MinPosition model.Position
}
