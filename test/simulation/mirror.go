package simulation

import (
	"math"
	"time"
)

type mirror struct {
	cal, w, beta, most float64
	turn               time.Duration
	hasTurn, isFull    bool
	sum                float64
	count, open        int
	moves              int
	isBlind            bool
}

func newMirror(beta, most float64) *mirror {
	return &mirror{w: math.Min(2, most), beta: beta, most: most}
}

func (x *mirror) take() {
	x.open++
	x.isFull = x.isFull || x.open >= int(x.w+1e-9)
}

func (x *mirror) done(latency time.Duration) {
	x.open--
	x.saw(latency)
}

func (x *mirror) saw(latency time.Duration) {
	x.sum += float64(latency)
	x.count++
}

func (x *mirror) beat(now time.Duration) {
	if !x.hasTurn {
		x.turn, x.hasTurn = now, true
		return
	}
	if now-x.turn < time.Second {
		return
	}
	x.turn = now
	if x.count == 0 {
		return
	}
	const alpha, gamma, threshold = 0.9, 0.2, 30e6
	l := x.sum / float64(x.count)
	x.cal = (1-alpha)*l + alpha*x.cal
	if x.moves == 0 {
		x.cal = l
	}
	x.moves++
	moved := (1-gamma)*x.w + gamma*(threshold/x.cal*x.w+x.beta)
	if x.isFull || moved < x.w {
		x.w = math.Min(math.Max(moved, 1), x.most)
	}
	x.sum, x.count, x.isFull = 0, 0, x.open >= int(x.w+1e-9)
}

func (n *node) mirrorOf(name string) *mirror {
	reading, isMet := n.hall.Window(name)
	if !n.fleet.isMirrored || !isMet {
		return nil
	}
	if n.mirrors[name] == nil {
		n.mirrors[name] = newMirror(reading.Beta, reading.Max)
	}
	return n.mirrors[name]
}

func (n *node) mirrorBeat(now time.Duration) {
	for _, one := range n.fleet.instances {
		held := n.mirrorOf(one.name)
		if held == nil {
			continue
		}
		reading, _ := n.hall.Window(one.name)
		held.beta, held.most = reading.Beta, reading.Max
		held.w = math.Min(held.w, held.most)
		held.beat(now)
		isFar := math.Abs(held.w-reading.Window) > 1e-6 || math.Abs(held.cal-float64(reading.Cal)) > 2
		if isFar {
			n.fleet.miss("%s for %s: window %v and CAL %v, by the equations %v and %v", n.name, one.name, reading.Window, reading.Cal, held.w, time.Duration(held.cal))
			held.w, held.cal = reading.Window, float64(reading.Cal)
		}
		n.fleet.moves = max(n.fleet.moves, held.moves)
		n.fleet.widest = math.Max(n.fleet.widest, held.w)
	}
}
