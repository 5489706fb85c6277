package flowcontrol

import "time"

// peerMemory is how long a node that was seen still counts, so that one that
// restarts finds its share free.
const peerMemory = time.Minute

// PeerCounter counts the nodes that share an instance: the most that were alive
// at one time within the last minute. Max is 1 where a node knows of no other.
type PeerCounter struct {
	Max    int
	recent []peerSample
}

// peerSample is a count of live nodes and when it was last observed.
type peerSample struct {
	at    time.Duration
	count int
}

// Observe takes the number of nodes that are alive now, and reports whether Max
// has changed.
func (p *PeerCounter) Observe(count int, now time.Duration) bool {
	kept := p.recent[:0]
	highest := max(count, 1)
	for _, sample := range p.recent {
		if now-sample.at < peerMemory {
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
