package node

import (
	"iter"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/transport/worker"
)

// ErrNoPeer is returned when no peer is available to forward a request.
const ErrNoPeer = errors.ConstError("no peer available to forward the request")

// attempt sends a request over one path: directly, or through a peer.
type attempt func() (any, error)

// RequestUpdate requests an update of the configuration from the control primary,
// or from another control node, which may name the primary. If the primary's
// address is known and no node answered the previous request, this one is also sent
// through a peer, because the network between this node and the primary may be
// partitioned. RequestUpdate returns false if no primary answers in time, and as
// soon as another node becomes primary.
func (n *Node) RequestUpdate(request distribution.UpdateRequest, search *PrimarySearch, timeout time.Duration) (distribution.Update, bool) {
	primaryChanged := n.primaryChange()
	primary, nodes := n.ControlPrimary()
	if primary == "" && len(nodes) == 0 {
		return distribution.Update{}, false
	}
	address, unanswered := search.target(primary, nodes), search.Unanswered
	attempts := []attempt{func() (any, error) { return n.Hub.Call(address, request, timeout) }}
	if primary != "" && unanswered > 0 {
		// Only the first of the two answers is used. If the other request arrived with
		// WithoutLease, it would release the lease that the first answer grants.
		request.WithoutLease = false
		attempts = append(attempts, func() (any, error) { return n.requestThroughPeer(request, unanswered, timeout) })
	}
	search.Misses++
	search.Unanswered++
	for update := range n.updates(attempts, primaryChanged) {
		n.ObserveEpoch(update.Record)
		search.Unanswered = 0
		if update.FromPrimary {
			search.Misses = 0
			return update, true
		}
	}
	if search.Unanswered > 0 {
		n.Counters.Add("news_misses", 1)
	}
	return distribution.Update{}, false
}

// updates makes all attempts concurrently and yields their answers in order of
// arrival, until all attempts have ended or another node has become primary.
func (n *Node) updates(attempts []attempt, primaryChanged <-chan struct{}) iter.Seq[distribution.Update] {
	type outcome struct {
		reply any
		err   error
	}
	outcomes := make(chan outcome, len(attempts))
	for _, call := range attempts {
		n.Workers.Go(func() {
			reply, err := call()
			outcomes <- outcome{reply, err}
		})
	}
	return func(yield func(distribution.Update) bool) {
		for range attempts {
			received, ok := worker.Receive(outcomes, primaryChanged)
			if !ok {
				n.Counters.Add("news_turned", 1)
				return
			}
			update, isUpdate := received.reply.(distribution.Update)
			if received.err == nil && isUpdate && !yield(update) {
				return
			}
		}
	}
}

func (n *Node) requestThroughPeer(request distribution.UpdateRequest, unanswered int, timeout time.Duration) (any, error) {
	peers := n.Peers()
	if len(peers) == 0 {
		return nil, ErrNoPeer
	}
	peer := peers[unanswered%len(peers)]
	request.ForwardedBy = peer.Name
	n.Counters.Add("news_through_peer", 1)
	return n.Hub.Call(peer.RPCAddress, message.ForwardUpdateRequest{Request: request}, timeout)
}

// ForwardUpdateRequests registers a handler that forwards the update requests of
// peers to the control primary. If the primary is unknown or does not answer in
// time, or if another node becomes primary, the handler waits no longer and replies
// to the peer with the newest epoch record.
func (n *Node) ForwardUpdateRequests(timeout time.Duration) {
	HandleMessage(n, func(_ string, forward message.ForwardUpdateRequest, reply func(any)) {
		primaryChanged := n.primaryChange()
		if address, _ := n.ControlPrimary(); address != "" {
			call := func() (any, error) { return n.Hub.Call(address, forward.Request, timeout) }
			for update := range n.updates([]attempt{call}, primaryChanged) {
				reply(update)
				return
			}
		}
		reply(distribution.Update{Record: n.EpochRecord()})
	})
}
