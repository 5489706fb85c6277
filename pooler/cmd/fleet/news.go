package fleet

import (
	"time"

	"github.com/juju/errors"

	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/protocol/msg"
	"tansyseam.example/pooler/state/view"
)

// ErrNoPeer says that no watched peer is known.
const ErrNoPeer = errors.ConstError("no such peer")

// Seeker is how one node's asks for news have gone lately.
type Seeker struct {
	// Misses counts the asks in a row that brought none, Silent those of them
	// that nobody answered at all.
	Misses, Silent int
}

func (s Seeker) target(primary string, nodes []view.Node) string {
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
// ask that nobody answered every second one goes through a watched peer, in
// case only the way to the primary is cut.
func (n *Node) AskNews(ask steer.AskNews, seeker *Seeker, bound time.Duration) (steer.News, bool) {
	primary, nodes := n.Primary()
	if primary == "" && len(nodes) == 0 {
		return steer.News{}, false
	}
	address := seeker.target(primary, nodes)
	var reply any
	var err error
	if primary != "" && seeker.Silent%2 == 1 {
		reply, err = n.askThrough(ask, seeker.Silent, bound)
	} else {
		reply, err = n.Hub.Call(address, ask, bound)
	}
	news, isOne := reply.(steer.News)
	if err != nil || !isOne {
		n.Counts.Add("news_misses", 1)
		seeker.Misses++
		seeker.Silent++
		return steer.News{}, false
	}
	n.Saw(news.Record)
	seeker.Silent = 0
	seeker.Misses++
	if news.IsPrimary {
		seeker.Misses = 0
	}
	return news, news.IsPrimary
}

func (n *Node) askThrough(ask steer.AskNews, silent int, bound time.Duration) (any, error) {
	watched := n.Watched()
	if len(watched) == 0 {
		return nil, ErrNoPeer
	}
	peer, isKnown := n.Find(watched[silent/2%len(watched)])
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
