package lineproto

import "tansyseam/internal/state/model"

// Codec gives the words of a line protocol. Each function that writes a
// message appends a line to a buffer and returns the buffer.
type Codec struct {
	// Parse reads one line, without its end.
	Parse func(line string) Message
	// ParseStatement reads the text of a query.
	ParseStatement func(text string) Statement
	// ParseStatus reads the payload of the row that answers an admin command.
	// It returns false if it is no status.
	ParseStatus func(payload string) (Status, bool)

	// Connect opens a session at an instance. An expected instance that is not
	// empty has any other refuse the session.
	Connect func(buffer []byte, database, clientName, expectedInstance string) []byte
	// Query sends a text under an id. An empty id stands for a statement of the
	// node's own. A position that is not zero is what the instance's log must
	// have reached.
	Query func(buffer []byte, id, text string, minPosition model.Position) []byte
	// Terminate ends a session.
	Terminate func(buffer []byte) []byte

	// Ready, Row, Done and Error write answers to a client, RawError an error
	// as an instance wrote it.
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
	// AdminCommand returns the text of an admin command, with the term where
	// it takes one.
	AdminCommand func(command string, term uint64) string
}
