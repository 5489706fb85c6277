package flowcontrol

import "time"

// Peers is how many nodes share an instance: the most that lived in the last
// minute, so that one that comes back finds its share free.
type PeerCounter struct {
	Max    int
	recent []peerSample
}

type peerSample struct {
	at    time.Duration
	count int
}

// Note takes the number of nodes that live now, and says whether the most has
// changed.
func (p *PeerCounter) Observe(count int, now time.Duration) bool {
	kept := p.recent[:0]
	highest := max(count, 1)
	for _, sample := range p.recent {
		if now-sample.at < time.Minute {
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
