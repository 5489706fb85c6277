package flowcontrol

import "time"

// peerRetention is how long a count of live nodes is kept, so that the share of a
// node that restarts stays free.
const peerRetention = time.Minute

// PeerCounter counts the nodes that share an instance. Max is the largest number
// of nodes that were alive at one time within the last minute. It is 1 if this
// node has observed no other node; callers create a PeerCounter with a Max of 1.
type PeerCounter struct {
	Max    int
	recent []peerSample
}

// peerSample is a count of live nodes and the time when it was last observed.
type peerSample struct {
	at    time.Duration
	count int
}

// Observe records the number of nodes that are alive now, and reports whether Max
// has changed.
func (p *PeerCounter) Observe(count int, now time.Duration) bool {
	kept := p.recent[:0]
	highest := max(count, 1)
	for _, sample := range p.recent {
		if now-sample.at < peerRetention {
			kept = append(kept, sample)
			highest = max(highest, sample.count)
		}
	}
	if len(kept) == 0 || kept[len(kept)-1].count != count {
		kept = append(kept, peerSample{now, count})
	} else {
		kept[len(kept)-1].at = now
	}
	p.recent = kept
	changed := highest != p.Max
	p.Max = highest
	return changed
}
