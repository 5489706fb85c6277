package control

import (
	"net/http"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/callresult"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/protocol/schema"
)

// callRetryMillis is the delay, in ms, after which an operator may resend a call if
// the control primary changed during it.
const callRetryMillis = 1000

func newCallResult(status int, answer any) message.OperatorCallResult {
	return message.OperatorCallResult{Status: status, Body: encode(answer)}
}

// rejected returns the result of a call that was refused and changed nothing.
func rejected(status int, reason string, violations ...schema.Violation) message.OperatorCallResult {
	return newCallResult(status, node.NewErrorResponse(reason, violations...))
}

// conflicting returns the result of a call that conflicts with a binding set that
// was accepted before.
func conflicting(reason string, sequence uint64) message.OperatorCallResult {
	response := node.NewErrorResponse(reason)
	response.Sequence = &sequence
	return newCallResult(http.StatusConflict, response)
}

// unacknowledged returns the result of a call during which the control primary
// changed. The call may be sent again with the same id. The outcome is one of the
// Outcome constants of package node.
func unacknowledged(outcome string, retryMillis int64) message.OperatorCallResult {
	response := node.NewErrorResponse("the control primary changed under the call")
	response.Outcome, response.RetryAfterMillis = outcome, retryMillis
	return newCallResult(http.StatusServiceUnavailable, response)
}

// repeatedResult returns the result of a call whose id was used before.
func repeatedResult(call operatorCall, recorded callresult.Result) message.OperatorCallResult {
	if recorded.Path != call.path {
		return rejected(http.StatusConflict, "the id was used for another call")
	}
	return message.OperatorCallResult{Status: recorded.Status, Body: recorded.Body}
}

func outcomeOf(submitted consensus.SubmitResult) string {
	if submitted.OutcomeUnknown {
		return node.OutcomeUnknown
	}
	return node.OutcomeNotKept
}
