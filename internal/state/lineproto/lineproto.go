// Package lineproto holds the types of a line protocol between clients, proxy
// nodes and database instances. One connection is one session. A query carries
// an id and a text; it is answered by rows, a result (done or an error) and a
// ready, which gives the session's state and the log position.
//
// The package has the protocol's structure only. Its words belong to a Codec,
// which the package of a platform provides.
package lineproto

import "tansyseam/internal/state/model"

// MaxLineBytes limits the length of a line.
const MaxLineBytes = 1 << 20

// Kind tells messages apart.
type Kind int

// Kinds of Message.
const (
	// KindInvalid is a line that is no message.
	KindInvalid Kind = iota
	// KindConnect, KindQuery and KindTerminate are sent to a server: to open a
	// session, to run a statement, and to end the session.
	KindConnect
	KindQuery
	KindTerminate
	// KindReady, KindRow, KindDone and KindError are a server's answers.
	KindReady
	KindRow
	KindDone
	KindError
)

// States of a session, as a ready gives them.
const (
	// StateIdle is outside of a transaction.
	StateIdle = byte('I')
	// StateInTransaction is inside of one.
	StateInTransaction = byte('T')
	// StateFailed is inside of one that can only be rolled back.
	StateFailed = byte('E')
)

// Message is one line. Which fields are set depends on its kind.
type Message struct {
	Kind Kind
	// Database is what a connect asks for, ClientName who connects, and
	// ExpectedInstance the instance that is to answer; it may be empty.
	Database, ClientName, ExpectedInstance string
	// ID and Text are a query's.
	ID, Text string
	// Payload is what a row, a done or an error holds, as it came.
	Payload string
	// Code is the reason of an error. Text is its description where the node
	// itself writes the error, which then has no payload.
	Code Code
	// State and Position are a ready's: the session's state, and the log
	// position that covers what was run.
	State    byte
	Position model.Position
}
