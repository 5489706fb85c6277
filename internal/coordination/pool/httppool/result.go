package httppool

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/state/model"
)

// Outcome says what became of a request. Clients read it: the strings stay.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeCommitted is for a write that is safe on the replicas.
	OutcomeCommitted Outcome = "kept"
	// OutcomeNotCommitted is for a request that surely had no effect.
	OutcomeNotCommitted Outcome = "not_kept"
	// OutcomeUnknown is for a write that may have been kept.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRead is for a read that was answered.
	OutcomeRead Outcome = "read"
	// OutcomeDone is for what ran inside a transaction or changed the session.
	OutcomeDone Outcome = "done"
)

// Causes for which a request had no effect, other than for want of time or
// capacity.
const (
	ErrNoSession        = errors.ConstError("no such session")
	ErrSessionBusy      = errors.ConstError("session busy")
	ErrNoBinding        = errors.ConstError("no such binding")
	ErrNoTransaction    = errors.ConstError("no such transaction")
	ErrInvalidRequestID = errors.ConstError("invalid request id")
	ErrStatementFailed  = errors.ConstError("failed at the instance")
	ErrNotReady         = errors.ConstError("not ready")
)

// Times after which a client is asked to retry. Each is meant to be about as
// long as what it waits for takes.
const (
	retryAfterDefault      = time.Second
	retryAfterNotReady     = 500 * time.Millisecond
	retryAfterDraining     = 50 * time.Millisecond
	retryAfterRejection    = 200 * time.Millisecond
	retryAfterLostConn     = 200 * time.Millisecond
	retryAfterRegression   = 50 * time.Millisecond
	retryAfterWriterChange = 800 * time.Millisecond
)

// Result is what a client is answered.
type Result struct {
	// Outcome is empty if a request was rejected before it was accepted.
	Outcome  Outcome
	Rows     []byte
	Position model.Position
	// Error is the text for the client, empty on success.
	Error string
	// Cause is one of the errors of this package, nil on success and where time
	// or capacity was wanting.
	Cause error
	// SessionClosed says that the session is over with this answer.
	SessionClosed   bool
	RetryAfter      time.Duration
	Instance        string
	BindingSequence uint64
	// MinPositions holds for each database the position that the session's
	// reads must have reached.
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

// rejection is the result of a call that was not accepted.
func rejection(cause error, retryAfter time.Duration, text string) Result {
	return Result{Cause: cause, RetryAfter: retryAfter, Error: text}
}

func notCommitted(text string) Result { return Result{Outcome: OutcomeNotCommitted, Error: text} }

func unknownOutcome(text string) Result { return Result{Outcome: OutcomeUnknown, Error: text} }

func noBindingText(binding string, sequence uint64) string {
	return fmt.Sprintf("no binding %q in sequence %d", binding, sequence)
}

// resultFromStatus answers a retry by the record of the first attempt.
func resultFromStatus(status idempotency.Status) Result {
	if status.State == idempotency.StateCommitted {
		return Result{Outcome: OutcomeCommitted, Rows: status.Rows, Position: status.Position}
	}
	if status.State == idempotency.StateNotCommitted {
		return notCommitted("this go ended before with nothing kept")
	}
	return unknownOutcome("what became of this go is not known")
}
