package lineproto

// Code is the reason of an error.
type Code int

// Codes of errors.
const (
	// CodeOther is any reason that has no code here.
	CodeOther Code = iota
	// CodeBusy: the server has no capacity now.
	CodeBusy
	// CodeAborted: the transaction was rolled back.
	CodeAborted
	// CodeLagging: the replica has not reached the position that was asked for.
	CodeLagging
	// CodeReadOnly: the instance is not the primary.
	CodeReadOnly
	// CodeWrongInstance: another instance answers at the address.
	CodeWrongInstance
	// CodeTooManyConnections: the instance takes no more connections.
	CodeTooManyConnections
	// CodeUnknownOutcome: the statement may or may not have been applied.
	CodeUnknownOutcome
	// CodeTimeout: the answer did not come in time.
	CodeTimeout
	// CodeFailed: the instance ran the statement, and it failed.
	CodeFailed
	// CodeNotFound: no statement is prepared under the name.
	CodeNotFound
	// CodeUnknownDatabase: nothing is served under the name.
	CodeUnknownDatabase
	// CodeTooMuchInput: the client sent more than the server takes.
	CodeTooMuchInput
	// CodeMalformed: the message makes no sense, or not in this state.
	CodeMalformed
)

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
