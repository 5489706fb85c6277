package node

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/protocol/message"
	"tansyseam/internal/transport/worker"
)

const (
	// forwardTimeout bounds the search for a control primary that takes a call.
	forwardTimeout = 4 * time.Second
	// forwardAttemptTimeout bounds one attempt.
	forwardAttemptTimeout = 1500 * time.Millisecond
	// forwardBackoff is the time between two attempts.
	forwardBackoff = 40 * time.Millisecond
	// forwardRetryMillis is after how many milliseconds an operator had best try
	// again if no primary was found.
	forwardRetryMillis = 1000
	// maxForwardHops is how many control nodes one attempt asks: the one that is
	// thought primary, and the one that it names instead.
	maxForwardHops = 2
)

// ForwardCall sends an operator's call to the control primary and returns the
// HTTP status and the body of its answer. A call that may have taken effect is
// sent again, with the same id: the primary answers it as before.
func (n *Node) ForwardCall(path string, body []byte) (int, any) {
	deadline := n.Now() + forwardTimeout
	outcome := OutcomeNotKept
	for attempt := 0; n.Now() < deadline && !n.Workers.IsStopping(); attempt++ {
		address := PrimarySearch{Misses: attempt}.target(n.ControlPrimary())
		if address != "" {
			result, err := n.callPrimary(address, path, body)
			if err == nil && !result.NotPrimary {
				return result.Status, result.Body
			}
			if err != nil {
				outcome = OutcomeUnknown
			}
		}
		worker.Await(n.Workers.Stopping(), forwardBackoff)
	}
	response := NewErrorResponse("no control primary answered in time")
	response.Outcome, response.RetryAfterMillis = outcome, forwardRetryMillis
	return http.StatusServiceUnavailable, response
}

// callPrimary makes one attempt, and follows one pointer to another node.
func (n *Node) callPrimary(address, path string, body []byte) (message.OperatorCallResult, error) {
	result := message.OperatorCallResult{}
	for range maxForwardHops {
		reply, err := n.Hub.Call(address, message.OperatorCall{Path: path, Body: body}, forwardAttemptTimeout)
		if err != nil {
			return result, errors.Trace(err)
		}
		result, _ = reply.(message.OperatorCallResult)
		primary, found := n.FindNode(result.Primary)
		if !result.NotPrimary || !found || primary.RPCAddress == address {
			break
		}
		address = primary.RPCAddress
	}
	return result, nil
}
