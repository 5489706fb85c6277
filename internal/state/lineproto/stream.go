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
	KindBad Kind = iota
	KindConnect
	KindQuery
	KindBye
	KindReady
	KindRow
	KindDone
	KindError
)

// Act is what a text asks for.
type Act int

// Acts.
const (
	ActBad Act = iota
	ActBegin
	ActBeginRead
	ActCommit
	ActRollback
	ActRead
	ActWrite
	ActSet
	ActPrepare
	ActRun
	ActForget
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
	CodeWrongHost
	CodeFull
	CodeUnknown
	CodeTimeout
	CodeFailed
	CodeNotFound
	CodeNoDatabase
	CodeTooLong
	CodeMalformed
)

// IsPromise says whether the code promises that nothing of the try is kept.
func (c Code) IsPromise() bool { return c >= CodeBusy && c <= CodeFull }

// States of a session after an answer.
const (
	StateIdle   = byte('I')
	StateInside = byte('T')
	StateFailed = byte('E')
)

// Message is one line.
type Message struct {
	Kind Kind
	// Database, Who and Expect are of a connect.
	Database, Who, Expect string
	// ID and Text are of a query.
	ID, Text string
	// Tail is what a row, a done or an error holds, as it came.
	Tail string
	// Code is of an error.
	Code Code
	// State and Position are of a ready.
	State    byte
	Position model.Position
}

// Statement is what a query's text asks for.
type Statement struct {
	Act Act
	// Name is that of a value or of a prepared shape.
	Name string
	// Value is what a value is set to.
	Value string
	// Shape is what a prepare holds, from its kind on; IsWrite is the kind.
	Shape   string
	IsWrite bool
	// Rest is what follows the name of a run, with the blank before it.
	Rest string
}

// Status is what an instance says of itself.
type Status struct {
	IsBusy bool
	// IsGone says that the instance of that name is not there.
	IsGone      bool
	Role        string
	Term        uint64
	Position    model.Position
	Held        uint64
	Lag         int
	Busy        int
	Connections int
}

// Orders given to an instance by the fleet itself.
const (
	OrderStatus   = "status"
	OrderPause    = "pause"
	OrderResume   = "resume"
	OrderStepDown = "step down"
)

// Codec is the words of a line protocol. Each function that writes appends to
// a buffer and gives it back.
type Codec struct {
	// Parse reads one line, without its end.
	Parse func(line string) Message
	// Read reads the text of a query.
	Read func(text string) Statement
	// Connect opens a session at an instance.
	Connect func(to []byte, database, who, expect string) []byte
	// Query carries a text under an id; an empty id stands for a statement of
	// the fleet's own. The floor, where not zero, is the position that the
	// instance's log must hold.
	Query func(to []byte, id, text string, floor model.Position) []byte
	// Bye ends a session.
	Bye func(to []byte) []byte
	// Ready, Row, Done and Error are answers to a client.
	Ready func(to []byte, state byte, position model.Position) []byte
	Row   func(to []byte, tail string) []byte
	Done  func(to []byte, tail string) []byte
	Error func(to []byte, code Code, text string) []byte
	// Fault is an error with what an instance wrote, as it came.
	Fault func(to []byte, tail string) []byte
	// Begin, Rollback, Reset, Set, Prepare and Run give texts.
	Begin    func(isRead bool) string
	Rollback func() string
	Reset    func() string
	Set      func(name, value string) string
	Prepare  func(name, shape string) string
	Run      func(name, rest string) string
	// Order gives the text of an order, with the term where it takes one.
	Order func(order string, term uint64) string
	// Status reads the row that answers an order.
	Status func(tail string) (Status, bool)
}

// Longest is the most that a line may hold.
const Longest = 1 << 20
