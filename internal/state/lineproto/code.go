package lineproto

// Code is the reason for an error.
type Code int

// Codes of errors.
const (
	// CodeOther means any reason without a code of its own.
	CodeOther Code = iota
	// CodeBusy means that the server currently has no capacity.
	CodeBusy
	// CodeAborted means that the transaction was rolled back.
	CodeAborted
	// CodeLagging means that the replica has not reached the requested position.
	CodeLagging
	// CodeReadOnly means that the instance is not the primary.
	CodeReadOnly
	// CodeWrongInstance means that another instance answers at the address.
	CodeWrongInstance
	// CodeTooManyConnections means that the instance accepts no more connections.
	CodeTooManyConnections
	// CodeUnknownOutcome means that it is unknown whether the statement was applied.
	CodeUnknownOutcome
	// CodeTimeout means that the answer did not arrive in time.
	CodeTimeout
	// CodeFailed means that the instance ran the statement, and it failed.
	CodeFailed
	// CodeNotFound means that no statement is prepared under the name.
	CodeNotFound
	// CodeUnknownDatabase means that no database is served under the name.
	CodeUnknownDatabase
	// CodeTooMuchInput means that the client sent more input than the server accepts.
	CodeTooMuchInput
	// CodeMalformed means that the message is malformed or not valid in the current
	// state.
	CodeMalformed
)

var codeNames = map[Code]string{
	CodeOther: "other", CodeBusy: "busy", CodeAborted: "aborted", CodeLagging: "lagging", CodeReadOnly: "read_only",
	CodeWrongInstance: "wrong_instance", CodeTooManyConnections: "too_many_connections", CodeUnknownOutcome: "unknown_outcome",
	CodeTimeout: "timeout", CodeFailed: "failed", CodeNotFound: "not_found", CodeUnknownDatabase: "unknown_database",
	CodeTooMuchInput: "too_much_input", CodeMalformed: "malformed",
}

// String returns the name of the code in counters.
func (c Code) String() string { return codeNames[c] }

var noEffectCodes = map[Code]bool{
	CodeBusy:               true,
	CodeAborted:            true,
	CodeLagging:            true,
	CodeReadOnly:           true,
	CodeWrongInstance:      true,
	CodeTooManyConnections: true,
}

// GuaranteesNoEffect reports whether the code guarantees that nothing of the
// statement, or of its transaction, was applied.
func (c Code) GuaranteesNoEffect() bool { return noEffectCodes[c] }
