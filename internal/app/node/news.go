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
type Seeker struct {
	// Misses counts the asks in a row that brought none, Silent those of them
	// that nobody answered at all.
	Misses, Silent int
}

func (s Seeker) target(primary string, nodes []model.Node) string {
	if len(nodes) == 0 || (primary != "" && s.Misses%3 != 2) {
		return primary
	}
	turn := s.Misses
	if primary != "" {
		turn /= 3
	}
	return nodes[turn%len(nodes)].Link
}

// AskNews asks the control primary, or whoever may know it, for news. After an
// ask that nobody answered the next goes through a peer of its kind as well, in
// case only the way to the primary is cut. It ends as soon as another control
// primary is heard of.
func (n *Node) AskNews(ask distribution.AskNews, seeker *Seeker, bound time.Duration) (distribution.News, bool) {
	turning := n.turning()
	primary, nodes := n.Primary()
	if primary == "" && len(nodes) == 0 {
		return distribution.News{}, false
	}
	address, silent := seeker.target(primary, nodes), seeker.Silent
	ways := []func() (any, error){func() (any, error) { return n.Hub.Call(address, ask, bound) }}
	if primary != "" && silent > 0 {
		ask.IsBare = false
		ways = append(ways, func() (any, error) { return n.askThrough(ask, silent, bound) })
	}
	seeker.Misses++
	seeker.Silent++
	for news := range n.race(ways, turning) {
		n.Saw(news.Record)
		seeker.Silent = 0
		if news.IsPrimary {
			seeker.Misses = 0
			return news, true
		}
	}
	if seeker.Silent > 0 {
		n.Counts.Add("news_misses", 1)
	}
	return distribution.News{}, false
}

// race gives the answers as they come, until all ways have ended or another
// control primary is heard of.
func (n *Node) race(ways []func() (any, error), turning <-chan struct{}) iter.Seq[distribution.News] {
	type outcome struct {
		reply any
		err   error
	}
	ended := make(chan outcome, len(ways))
	for _, way := range ways {
		n.Crew.Go(func() {
			reply, err := way()
			ended <- outcome{reply, err}
		})
	}
	return func(yield func(distribution.News) bool) {
		for range ways {
			one, isEnded := worker.Take(ended, turning)
			if !isEnded {
				n.Counts.Add("news_turned", 1)
				return
			}
			news, isNews := one.reply.(distribution.News)
			if one.err == nil && isNews && !yield(news) {
				return
			}
		}
	}
}

func (n *Node) askThrough(ask distribution.AskNews, silent int, bound time.Duration) (any, error) {
	fellows := n.Fellows()
	if len(fellows) == 0 {
		return nil, ErrNoPeer
	}
	peer := fellows[silent%len(fellows)]
	ask.Via = peer.Name
	n.Counts.Add("news_through_peer", 1)
	return n.Hub.Call(peer.Link, message.PassNews{Ask: ask}, bound)
}

// OnPassNews passes a peer's asks on to the control primary. Where that is not
// known, does not answer or is no longer primary, the peer is told so at once.
func (n *Node) OnPassNews(bound time.Duration) {
	On(n, func(_ string, pass message.PassNews, answer func(any)) {
		turning := n.turning()
		if address, _ := n.Primary(); address != "" {
			ask := func() (any, error) { return n.Hub.Call(address, pass.Ask, bound) }
			for news := range n.race([]func() (any, error){ask}, turning) {
				answer(news)
				return
			}
		}
		answer(distribution.News{Record: n.Record()})
	})
}
