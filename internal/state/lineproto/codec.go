package lineproto

import "tansyseam/internal/state/model"

// Codec reads and writes the text of a line protocol. Each function that writes a
// message appends a line to a buffer and returns the buffer.
type Codec struct {
	// Parse parses one line, given without its line ending.
	Parse func(line string) Message
	// ParseStatement parses the text of a query.
	ParseStatement func(text string) Statement
	// ParseStatus parses the payload of the row that answers an admin command.
	// It returns false if the payload is not a status.
	ParseStatus func(payload string) (Status, bool)

	// Connect opens a session at an instance. If expectedInstance is not empty,
	// any other instance refuses the session.
	Connect func(buffer []byte, database, clientName, expectedInstance string) []byte
	// Query sends a text with an id. The id is empty for a statement that the
	// node itself issues. If minPosition is not zero, the instance's log must
	// have reached that position.
	Query func(buffer []byte, id, text string, minPosition model.Position) []byte
	// Terminate ends a session.
	Terminate func(buffer []byte) []byte

	// Ready, Row, Done and Error write answers to a client. RawError writes an
	// error with the payload that an instance sent.
	Ready    func(buffer []byte, state byte, position model.Position) []byte
	Row      func(buffer []byte, payload string) []byte
	Done     func(buffer []byte, payload string) []byte
	Error    func(buffer []byte, code Code, text string) []byte
	RawError func(buffer []byte, payload string) []byte

	// Begin, Rollback, Reset, Set, Prepare and Execute return the text of a
	// query. Reset clears the session's variables and prepared statements.
	Begin    func(readOnly bool) string
	Rollback func() string
	Reset    func() string
	Set      func(name, value string) string
	Prepare  func(name, statement string) string
	Execute  func(name, arguments string) string
	// AdminCommand returns the text of an admin command. The text includes the
	// term if the command takes a term.
	AdminCommand func(command string, term uint64) string
}
