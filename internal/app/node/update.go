package node

import (
	"iter"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/worker"
)

// ErrNoPeer says that no peer that passes asks on is known.
const ErrNoPeer = errors.ConstError("no such peer")

// Seeker is how one node's asks for news have gone lately.
type PrimarySearch struct {
	// Misses counts the asks in a row that brought none, Silent those of them
	// that nobody answered at all.
	Misses, Unanswered int
}

func (s PrimarySearch) target(primary string, nodes []model.Node) string {
	if len(nodes) == 0 || (primary != "" && s.Misses%3 != 2) {
		return primary
	}
	turn := s.Misses
	if primary != "" {
		turn /= 3
	}
	return nodes[turn%len(nodes)].RPCAddress
}

// AskNews asks the control primary, or whoever may know it, for news. After an
// ask that nobody answered the next goes through a peer of its kind as well, in
// case only the way to the primary is cut. It ends as soon as another control
// primary is heard of.
func (n *Node) RequestUpdate(ask distribution.UpdateRequest, search *PrimarySearch, timeout time.Duration) (distribution.Update, bool) {
	primaryChanged := n.primaryChange()
	primary, nodes := n.ControlPrimary()
	if primary == "" && len(nodes) == 0 {
		return distribution.Update{}, false
	}
	address, silent := search.target(primary, nodes), search.Unanswered
	ways := []func() (any, error){func() (any, error) { return n.Hub.Call(address, ask, timeout) }}
	if primary != "" && silent > 0 {
		ask.WithoutLease = false
		ways = append(ways, func() (any, error) { return n.requestThroughPeer(ask, silent, timeout) })
	}
	search.Misses++
	search.Unanswered++
	for news := range n.firstUpdates(ways, primaryChanged) {
		n.ObserveEpoch(news.Record)
		search.Unanswered = 0
		if news.FromPrimary {
			search.Misses = 0
			return news, true
		}
	}
	if search.Unanswered > 0 {
		n.Counters.Add("news_misses", 1)
	}
	return distribution.Update{}, false
}

// race gives the answers as they come, until all ways have ended or another
// control primary is heard of.
func (n *Node) firstUpdates(ways []func() (any, error), primaryChanged <-chan struct{}) iter.Seq[distribution.Update] {
	type outcome struct {
		reply any
		err   error
	}
	ended := make(chan outcome, len(ways))
	for _, way := range ways {
		n.Workers.Go(func() {
			reply, err := way()
			ended <- outcome{reply, err}
		})
	}
	return func(yield func(distribution.Update) bool) {
		for range ways {
			one, isEnded := worker.Receive(ended, primaryChanged)
			if !isEnded {
				n.Counters.Add("news_turned", 1)
				return
			}
			news, isNews := one.reply.(distribution.Update)
			if one.err == nil && isNews && !yield(news) {
				return
			}
		}
	}
}

func (n *Node) requestThroughPeer(ask distribution.UpdateRequest, silent int, timeout time.Duration) (any, error) {
	peers := n.Peers()
	if len(peers) == 0 {
		return nil, ErrNoPeer
	}
	peer := peers[silent%len(peers)]
	ask.ForwardedBy = peer.Name
	n.Counters.Add("news_through_peer", 1)
	return n.Hub.Call(peer.RPCAddress, message.ForwardUpdateRequest{Request: ask}, timeout)
}

// OnPassNews passes a peer's asks on to the control primary. Where that is not
// known, does not answer or is no longer primary, the peer is told so at once.
func (n *Node) ForwardUpdateRequests(timeout time.Duration) {
	HandleMessage(n, func(_ string, pass message.ForwardUpdateRequest, answer func(any)) {
		primaryChanged := n.primaryChange()
		if address, _ := n.ControlPrimary(); address != "" {
			ask := func() (any, error) { return n.Hub.Call(address, pass.Request, timeout) }
			for news := range n.firstUpdates([]func() (any, error){ask}, primaryChanged) {
				answer(news)
				return
			}
		}
		answer(distribution.Update{Record: n.EpochRecord()})
	})
}
