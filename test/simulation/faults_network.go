package simulation

import "time"

const (
	faultLossRate      = 0.02
	minSlowLinkDelay   = 20 * time.Millisecond
	maxSlowLinkDelay   = 250 * time.Millisecond
	reverseProbability = 0.5
)

func (p *controlPlane) slowLinks(duration time.Duration) {
	network := &p.simulator.network
	setFor(p.simulator, duration, &network.extraDelay, p.simulator.randomDuration(minSlowLinkDelay, maxSlowLinkDelay), 0)
}

func (p *controlPlane) loseMessages(duration time.Duration) {
	network := &p.simulator.network
	setFor(p.simulator, duration, &network.lossRate, faultLossRate, 0)
}

// blockOneWay blocks one direction between a random node and a random control
// server.
func (f *fleet) blockOneWay(duration time.Duration) {
	l := link{f.randomNode().name, f.randomControl().name}
	if f.simulator.chance(reverseProbability) {
		l = l.reversed()
	}
	f.simulator.blockLink(l, duration)
}

// blockNode blocks all links between a node and the control servers and peers, in
// both directions.
func (p *controlPlane) blockNode(isolated string, peers []string, duration time.Duration) {
	for _, control := range p.controls {
		p.simulator.blockBothWays(link{isolated, control.name}, duration)
	}
	for _, peer := range peers {
		p.simulator.blockBothWays(link{isolated, peer}, duration)
	}
}
