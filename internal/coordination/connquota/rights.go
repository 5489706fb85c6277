// Package connquota says how many connections a node may have at an instance
// whose cap all nodes share. Nodes that know the same names come to the same
// rights without a word between them.
//
// Where the cap gives each node two or more, each has that share. Where it
// gives less, half of the cap is kept: rendezvous hashing names, for each
// instance, the nodes that may keep one connection at rest there. The other
// half is spare: any node opens what a statement waits for, and gives it back
// once it rests.
package connquota

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/rendezvous"
)

// Plenty is the share from which a node has connections of its own only: one
// that rests inside a transaction then leaves it another.
const Plenty = 2

// Share is what one node may have at one instance: Kept connections at rest,
// Most in all.
type Share struct {
	Kept int
	Most int
}

// IsScarce says whether connections over the kept ones are given back.
func (s Share) IsScarce() bool { return s.Kept < s.Most }

// Names are the nodes that share: those that lived in the last minute, so that
// one that comes back finds its rights free. The zero value knows none.
type Names struct {
	seen  map[string]time.Duration
	names []string
	live  []string
	noted time.Duration
}

const (
	remembered = time.Minute
	// looked is how often the same names are gone through again.
	looked = time.Second
)

// Note takes the names of the nodes that live now, and says whether those that
// share have changed.
func (n *Names) Note(live []string, now time.Duration) bool {
	if n.seen != nil && now-n.noted < looked && slices.Equal(live, n.live) {
		return false
	}
	if n.seen == nil {
		n.seen = map[string]time.Duration{}
	}
	n.live, n.noted = append(n.live[:0], live...), now
	isNew := false
	for _, name := range live {
		_, isKnown := n.seen[name]
		isNew = isNew || !isKnown
		n.seen[name] = now
	}
	for name, at := range n.seen {
		if now-at >= remembered {
			delete(n.seen, name)
			isNew = true
		}
	}
	if isNew {
		n.names = n.names[:0]
		for name := range n.seen {
			n.names = append(n.names, name)
		}
		slices.Sort(n.names)
	}
	return isNew
}

// Count is how many nodes share, one at least.
func (n *Names) Count() int { return max(len(n.names), 1) }

// Of gives the share of a node at an instance with a cap; one connection is
// left to the control primary. A cap below two is not known yet.
func (n *Names) Of(node, instance string, connections int) Share {
	if connections < Plenty {
		return Share{Kept: 1, Most: 1}
	}
	if own := connections / (n.Count() + 1); own >= Plenty {
		return Share{Kept: own, Most: own}
	}
	share := Share{Most: Plenty}
	if half := connections / 2; half >= n.Count() || rendezvous.IsAmong(n.names, instance, node, half) {
		share.Kept = 1
	}
	return share
}
