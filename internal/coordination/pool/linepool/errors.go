package linepool

import "tansyseam/internal/state/lineproto"

// clientError is an error as a client receives it.
type clientError struct {
	code lineproto.Code
	text string
}

func (e clientError) message() lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindError, Code: e.code, Text: e.text}
}

// Errors for clients that violate the protocol.
var (
	errAlreadyConnected  = clientError{lineproto.CodeMalformed, "connected already"}
	errNotConnected      = clientError{lineproto.CodeMalformed, "not connected"}
	errTooMuchPipelined  = clientError{lineproto.CodeTooMuchInput, "too much sent ahead"}
	errInvalidInState    = clientError{lineproto.CodeMalformed, "not taken in this state"}
	errNestedTransaction = clientError{lineproto.CodeMalformed, "inside a transaction already"}
	errNoTransaction     = clientError{lineproto.CodeMalformed, "no transaction"}
)

// Errors that guarantee that nothing of the statement was applied.
var (
	errStopping          = clientError{lineproto.CodeBusy, "this node is stopping; come back in 50 ms"}
	errNotServed         = clientError{lineproto.CodeBusy, "not served now; come back in 500 ms"}
	errQueueFull         = clientError{lineproto.CodeBusy, "the line is full; come back in 500 ms"}
	errTooManyRetries    = clientError{lineproto.CodeBusy, "no instance took it; come back in 200 ms"}
	errNoCapacity        = clientError{lineproto.CodeBusy, "no room in time; come back in 200 ms"}
	errNoCapacityAborted = clientError{lineproto.CodeAborted, "no room in time; come back in 200 ms"}
	errTransactionFailed = clientError{lineproto.CodeAborted, "the transaction had failed; nothing is kept"}
	errTransactionLost   = clientError{lineproto.CodeAborted, "the transaction was lost with its instance; nothing is kept"}
)

// errReadTimeout is sent when a read is not answered in time.
var errReadTimeout = clientError{lineproto.CodeTimeout, "no answer from the instance in time"}

// Errors after which the statement may or may not have been applied.
var (
	errCommitTimeout   = clientError{lineproto.CodeUnknownOutcome, "no answer from the instance in time"}
	errConnectionEnded = clientError{lineproto.CodeUnknownOutcome, "the instance's connection ended before its answer came"}
	errPrimaryDemoted  = clientError{lineproto.CodeUnknownOutcome, "its primary lost the writer role before it answered"}
	errTermEnded       = clientError{lineproto.CodeUnknownOutcome, "it ran on a primary that has since lost the writer role"}
	errLeaseTimeout    = clientError{lineproto.CodeUnknownOutcome, "it ran, but the lease to say so did not come in time"}
)

// inFlightErrors are the errors for requests that end while they are in flight.
type inFlightErrors struct {
	// unknown is for a request that may have committed something.
	unknown clientError
	// aborted is for a request of a transaction that is rolled back.
	aborted clientError
	// read is for a read outside a transaction.
	read clientError
}

var (
	timeoutErrors  = inFlightErrors{unknown: errCommitTimeout, aborted: errTransactionLost, read: errReadTimeout}
	stoppingErrors = inFlightErrors{
		unknown: clientError{lineproto.CodeUnknownOutcome, "this node stopped before the outcome was known"},
		aborted: clientError{lineproto.CodeAborted, "this node is stopping and rolls the transaction back; come back in 50 ms"},
		read:    clientError{lineproto.CodeTimeout, "this node stopped before the instance answered"},
	}
)

// errUnknownBinding returns the error for a binding name that does not exist.
func errUnknownBinding(name string) clientError {
	return clientError{lineproto.CodeUnknownDatabase, name}
}

// errNotPrepared returns the error for a statement name that the client has not
// prepared.
func errNotPrepared(name string) clientError {
	return clientError{lineproto.CodeNotFound, name}
}
