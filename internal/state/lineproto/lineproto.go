// Package lineproto defines the types of a line protocol between clients, proxy
// nodes and database instances. One connection is one session. A query carries
// an id and a text. The answer consists of rows, a result (a done or an error
// message) and a ready message with the session's state and the log position.
//
// The package defines only the structure of the protocol. A Codec, provided by the
// package of a platform, defines its text.
package lineproto

import "tansyseam/internal/state/model"

// MaxLineBytes is the maximum length of a line.
const MaxLineBytes = 1 << 20

// Kind is the kind of a message.
type Kind int

// Kinds of Message.
const (
	// KindInvalid is the kind of a line that is not a message.
	KindInvalid Kind = iota
	// KindConnect, KindQuery and KindTerminate are the kinds of messages to a
	// server. They open a session, run a statement, and end the session.
	KindConnect
	KindQuery
	KindTerminate
	// KindReady, KindRow, KindDone and KindError are the kinds of a server's
	// answers.
	KindReady
	KindRow
	KindDone
	KindError
)

// States of a session in a ready message.
const (
	// StateIdle is the state outside a transaction.
	StateIdle = byte('I')
	// StateInTransaction is the state inside a transaction.
	StateInTransaction = byte('T')
	// StateFailed is the state inside a transaction that can only be rolled back.
	StateFailed = byte('E')
)

// NoStamp is the payload of a done message without a stamp. It answers a query that has
// only changed the session, while a read, a write or a commit is answered with a stamp of
// its own.
const NoStamp = "-"

// Message is one line. The kind determines which fields are set.
type Message struct {
	Kind Kind
	// Database, ClientName and ExpectedInstance are set in a connect message:
	// the requested database, the name of the client, and the instance that must
	// answer. ExpectedInstance may be empty.
	Database, ClientName, ExpectedInstance string
	// ID and Text are the id and the text of a query.
	ID, Text string
	// Payload is the unparsed content of a row, done or error message.
	Payload string
	// Code is the reason for an error. If the node itself creates the error, Text
	// describes the error, and Payload is empty.
	Code Code
	// State and Position are set in a ready message: the session's state, and a
	// log position that covers the statements run so far.
	State    byte
	Position model.Position
}
