package fleet

import (
	"time"

	"github.com/juju/errors"

	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/protocol/msg"
)

// ErrNoPeer says that no watched peer is known.
const ErrNoPeer = errors.ConstError("no such peer")

// AskNews asks the control primary, or whoever may know it, for news. Misses
// counts the asks in a row that brought none; every third goes through a
// watched peer, in case only the way to the primary is cut.
func (n *Node) AskNews(ask steer.AskNews, misses int, bound time.Duration) (steer.News, bool) {
	primary, nodes := n.Primary()
	if primary == "" && len(nodes) == 0 {
		return steer.News{}, false
	}
	address := primary
	if len(nodes) > 0 && (address == "" || misses%3 == 2) {
		address = nodes[misses%len(nodes)].Link
	}
	var reply any
	var err error
	if primary != "" && misses%3 == 1 && misses > 1 {
		reply, err = n.askThrough(ask, misses, bound)
	} else {
		reply, err = n.Hub.Call(address, ask, bound)
	}
	news, isOne := reply.(steer.News)
	if err != nil || !isOne {
		n.Counts.Add("news_misses", 1)
		return steer.News{}, false
	}
	n.Saw(news.Record)
	return news, true
}

func (n *Node) askThrough(ask steer.AskNews, misses int, bound time.Duration) (any, error) {
	watched := n.Watched()
	if len(watched) == 0 {
		return nil, ErrNoPeer
	}
	peer, isKnown := n.Find(watched[misses/3%len(watched)])
	if !isKnown {
		return nil, ErrNoPeer
	}
	ask.Via = peer.Name
	n.Counts.Add("news_through_peer", 1)
	return n.Hub.Call(peer.Link, msg.PassNews{Ask: ask}, bound)
}

// OnPassNews passes a peer's asks on to the control primary. Where that is not
// known, or does not answer, the peer is told so at once.
func (n *Node) OnPassNews(bound time.Duration) {
	On(n, func(_ string, pass msg.PassNews, answer func(any)) {
		address, _ := n.Primary()
		if address != "" {
			if reply, err := n.Hub.Call(address, pass.Ask, bound); err == nil {
				answer(reply)
				return
			}
		}
		answer(steer.News{Record: n.Record()})
	})
}
