// Package lineproto holds the shapes of a line protocol by which clients and
// synced instances speak: one connection is one session, statements carry an
// id and a text, and every answer ends with a state and a log position. The
// words themselves belong to a Codec.
package lineproto

import "tansyseam/internal/state/model"

// Kinds of message.
type Kind int

// Kinds.
const (
	KindInvalid Kind = iota
	KindConnect
	KindQuery
	KindTerminate
	KindReady
	KindRow
	KindDone
	KindError
)

// Act is what a text asks for.
type Action int

// Acts.
const (
	ActionInvalid Action = iota
	ActionBegin
	ActionBeginReadOnly
	ActionCommit
	ActionRollback
	ActionRead
	ActionWrite
	ActionSet
	ActionPrepare
	ActionExecute
	ActionDeallocate
)

// Code is the reason of an error.
type Code int

// Codes. Busy, Aborted, Lagging, ReadOnly, WrongHost and Full promise that
// nothing of the try is kept.
const (
	CodeOther Code = iota
	CodeBusy
	CodeAborted
	CodeLagging
	CodeReadOnly
	CodeWrongInstance
	CodeTooManyConnections
	CodeUnknownOutcome
	CodeTimeout
	CodeFailed
	CodeNotFound
	CodeUnknownDatabase
	CodeTooMuchInput
	CodeMalformed
)

// IsPromise says whether the code promises that nothing of the try is kept.
func (c Code) GuaranteesNoEffect() bool { return c >= CodeBusy && c <= CodeTooManyConnections }

// States of a session after an answer.
const (
	StateIdle          = byte('I')
	StateInTransaction = byte('T')
	StateFailed        = byte('E')
)

// Message is one line.
type Message struct {
	Kind Kind
	// Database, Who and Expect are of a connect.
	Database, ClientName, ExpectedInstance string
	// ID and Text are of a query.
	ID, Text string
	// Tail is what a row, a done or an error holds, as it came.
	Payload string
	// Code is of an error.
	Code Code
	// State and Position are of a ready.
	State    byte
	Position model.Position
}

// Statement is what a query's text asks for.
type Statement struct {
	Action Action
	// Name is that of a value or of a prepared shape.
	Name string
	// Value is what a value is set to.
	Value string
	// Shape is what a prepare holds, from its kind on; IsWrite is the kind.
	PreparedText string
	Write        bool
	// Rest is what follows the name of a run, with the blank before it.
	Arguments string
}

// Status is what an instance says of itself.
type Status struct {
	Busy bool
	// IsGone says that the instance of that name is not there.
	Missing         bool
	Role            string
	Term            uint64
	Position        model.Position
	HeldTerm        uint64
	Lag             int
	BusyConnections int
	Connections     int
}

// Orders given to an instance by the fleet itself.
const (
	AdminStatus   = "status"
	AdminPause    = "pause"
	AdminResume   = "resume"
	AdminStepDown = "step down"
)

// Codec is the words of a line protocol. Each function that writes appends to
// a buffer and gives it back.
type Codec struct {
	// Parse reads one line, without its end.
	Parse func(line string) Message
	// Read reads the text of a query.
	ParseStatement func(text string) Statement
	// Connect opens a session at an instance.
	Connect func(to []byte, database, who, expect string) []byte
	// Query carries a text under an id; an empty id stands for a statement of
	// the fleet's own. The floor, where not zero, is the position that the
	// instance's log must hold.
	Query func(to []byte, id, text string, minPosition model.Position) []byte
	// Bye ends a session.
	Terminate func(to []byte) []byte
	// Ready, Row, Done and Error are answers to a client.
	Ready func(to []byte, state byte, position model.Position) []byte
	Row   func(to []byte, tail string) []byte
	Done  func(to []byte, tail string) []byte
	Error func(to []byte, code Code, text string) []byte
	// Fault is an error with what an instance wrote, as it came.
	RawError func(to []byte, tail string) []byte
	// Begin, Rollback, Reset, Set, Prepare and Run give texts.
	Begin    func(isRead bool) string
	Rollback func() string
	Reset    func() string
	Set      func(name, value string) string
	Prepare  func(name, shape string) string
	Execute  func(name, rest string) string
	// Order gives the text of an order, with the term where it takes one.
	AdminCommand func(order string, term uint64) string
	// Status reads the row that answers an order.
	ParseStatus func(tail string) (Status, bool)
}

// Longest is the most that a line may hold.
const MaxLineBytes = 1 << 20
