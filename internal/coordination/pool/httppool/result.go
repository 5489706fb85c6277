package httppool

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/state/model"
)

// Outcome states whether a request took effect. Clients read the strings, so they
// must not change.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeCommitted is the outcome of a write that is safe on the replicas.
	OutcomeCommitted Outcome = "kept"
	// OutcomeNotCommitted is the outcome of a request that certainly had no effect.
	OutcomeNotCommitted Outcome = "not_kept"
	// OutcomeUnknown is the outcome of a write that may have been committed.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRead is the outcome of a read that was answered.
	OutcomeRead Outcome = "read"
	// OutcomeDone is the outcome of an operation that ran inside a transaction or
	// changed the session.
	OutcomeDone Outcome = "done"
)

// Causes of requests without effect, other than a lack of time or capacity.
const (
	ErrNoSession        = errors.ConstError("no such session")
	ErrSessionBusy      = errors.ConstError("session busy")
	ErrNoBinding        = errors.ConstError("no such binding")
	ErrNoTransaction    = errors.ConstError("no such transaction")
	ErrInvalidRequestID = errors.ConstError("invalid request id")
	ErrStatementFailed  = errors.ConstError("failed at the instance")
	ErrNotReady         = errors.ConstError("not ready")
)

// Times after which a client is asked to retry. Each is chosen to be about as long
// as the condition that it waits for usually takes.
const (
	retryAfterDefault      = time.Second
	retryAfterNotReady     = 500 * time.Millisecond
	retryAfterDraining     = 50 * time.Millisecond
	retryAfterRejection    = 200 * time.Millisecond
	retryAfterLostConn     = 200 * time.Millisecond
	retryAfterRegression   = 50 * time.Millisecond
	retryAfterWriterChange = 800 * time.Millisecond
)

// Result is the answer to a client.
type Result struct {
	// Outcome is empty if a request was rejected before it was accepted.
	Outcome  Outcome
	Rows     []byte
	Position model.Position
	// Error is the text for the client, empty on success.
	Error string
	// Cause is one of the errors of this package. It is nil on success and if the
	// request failed for lack of time or capacity.
	Cause error
	// SessionClosed is true if the session ends with this answer.
	SessionClosed   bool
	RetryAfter      time.Duration
	Instance        string
	BindingSequence uint64
	// MinPositions holds, by database, the position that an instance must have
	// reached to answer the session's reads.
	MinPositions map[string]model.Position
}

var (
	drainingResult = Result{
		Outcome: OutcomeNotCommitted, Error: "this node is stopping: open a session at another",
		RetryAfter: retryAfterDraining, SessionClosed: true,
	}
	noTransactionResult = Result{
		Outcome: OutcomeNotCommitted, Error: "no transaction is open, or one is open already", Cause: ErrNoTransaction,
	}
)

// rejection returns the result of a call that was not accepted.
func rejection(cause error, retryAfter time.Duration, text string) Result {
	return Result{Cause: cause, RetryAfter: retryAfter, Error: text}
}

func notCommitted(text string) Result { return Result{Outcome: OutcomeNotCommitted, Error: text} }

func unknownOutcome(text string) Result { return Result{Outcome: OutcomeUnknown, Error: text} }

func noBindingText(binding string, sequence uint64) string {
	return fmt.Sprintf("no binding %q in sequence %d", binding, sequence)
}

// resultFromStatus returns the answer to a retry, from the recorded status of the
// first attempt.
func resultFromStatus(status idempotency.Status) Result {
	if status.State == idempotency.StateCommitted {
		return Result{Outcome: OutcomeCommitted, Rows: status.Rows, Position: status.Position}
	}
	if status.State == idempotency.StateNotCommitted {
		return notCommitted("this go ended before with nothing kept")
	}
	return unknownOutcome("what became of this go is not known")
}
