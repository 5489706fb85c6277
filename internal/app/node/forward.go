package node

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/protocol/message"
	"tansyseam/internal/transport/worker"
)

const (
	// forwardTimeout is how long ForwardCall tries to reach a control primary.
	forwardTimeout = 4 * time.Second
	// forwardAttemptTimeout bounds each RPC of an attempt.
	forwardAttemptTimeout = 1500 * time.Millisecond
	// forwardBackoff is the delay between two attempts.
	forwardBackoff = 40 * time.Millisecond
	// forwardRetryMillis is the delay, in ms, after which an operator should retry a
	// call if no primary answered.
	forwardRetryMillis = 1000
	// maxForwardHops is the maximum number of control nodes that one attempt asks: the
	// supposed primary, and the node that it names as the primary instead.
	maxForwardHops = 2
)

// ForwardCall sends an operator's call to the control primary and returns the
// HTTP status and the body of its answer. A call that may have taken effect is
// sent again unchanged. For an id that the primary has recorded, it repeats its first
// answer; it recognizes a repeated manifest by the version.
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

// callPrimary makes one attempt. If the asked node names another node as the
// primary, callPrimary asks that node next, up to maxForwardHops nodes.
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
