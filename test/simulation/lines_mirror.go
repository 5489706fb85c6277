package simulation

import (
	"math"
	"strings"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/pool/linepool"
	words "tansyseam/internal/state/lineproto"
)

// owedAnswer is what an instance still has to answer on a link. Scored ones
// hold a place in the window, a begin until the statement that follows ends.
type owedAnswer struct {
	isScored, isBegin bool
	scale             float64
}

// placed is a link's place in the window of its instance.
type placed struct {
	isHeld, isBegin, isBegun bool
	at                       time.Duration
	scale                    float64
}

const referenceTarget = 200 * time.Millisecond

func (n *front) reading(name string) (flowcontrol.Reading, bool) {
	instances, _ := n.pool.Show(n.clock())
	for _, one := range instances {
		if one.Info.Name == name {
			return one.Admission, true
		}
	}
	return flowcontrol.Reading{}, false
}

func (n *front) mirrorOf(name string) *mirror {
	if !n.lines.isMirrored {
		return nil
	}
	reading, isMet := n.reading(name)
	if !isMet {
		return nil
	}
	held := n.mirrors[name]
	if held == nil {
		held = newMirror(1, reading.Max)
		n.mirrors[name] = held
	}
	held.most = reading.Max
	held.w = math.Min(held.w, held.most)
	if held.moves == 0 && held.count == 0 && held.open == 0 {
		held.w = math.Min(2, held.most)
	}
	return held
}

func (n *front) mirrorSend(link *lineLink, outs []linepool.Out) {
	if !n.lines.isMirrored {
		return
	}
	link.owed = append(link.owed, make([]owedAnswer, len(outs)-1)...)
	last := outs[len(outs)-1]
	one := owedAnswer{isBegin: last.Kind == linepool.OutBegin || last.Kind == linepool.OutBeginRead}
	one.isScored = one.isBegin || last.Kind == linepool.OutText || last.Kind == linepool.OutRun
	if asked := n.lines.asks[last.ID]; asked != nil {
		one.scale = referenceTarget.Seconds() / n.lines.targetOf(asked.person.route).Seconds()
	}
	link.owed = append(link.owed, one)
	held := n.mirrorOf(link.server.name)
	if !one.isScored || held == nil {
		return
	}
	if !link.place.isHeld {
		if room := int(math.Max(1, math.Floor(held.w+1e-9))); held.open >= room {
			n.lines.fault(RuleWindow, "%s has %d out at %s, with a window of %v", n.name, held.open+1, link.server.name, held.w)
		}
		held.take()
	}
	link.place = placed{isHeld: true, isBegin: one.isBegin, at: n.clock(), scale: one.scale}
}

var unworked = map[words.Code]bool{words.CodeBusy: true, words.CodeLagging: true, words.CodeReadOnly: true, words.CodeNotFound: true}

func (n *front) mirrorCame(link *lineLink, message words.Message) {
	if len(link.owed) == 0 {
		return
	}
	first := link.owed[0]
	if message.Kind == words.KindDone || message.Kind == words.KindError {
		link.end = message
	}
	if message.Kind != words.KindReady {
		return
	}
	link.owed = link.owed[1:]
	held := n.mirrorOf(link.server.name)
	if !first.isScored || held == nil {
		return
	}
	if first.isBegin && link.end.Kind == words.KindDone && message.State == words.StateInside {
		link.place.isBegun = true
		return
	}
	age := n.clock() - link.place.at
	isWorked := !first.isBegin && (link.end.Kind != words.KindError || !unworked[link.end.Code])
	link.place = placed{}
	held.open--
	if isWorked {
		held.saw(time.Duration(float64(age) * first.scale))
	}
}

// mirrorShut takes in that a link is over: what was out there counts its age,
// and no less than the threshold. Whose begin was out is not known from here:
// that window is taken as the node shows it.
func (n *front) mirrorShut(link *lineLink) {
	place := link.place
	link.place = placed{}
	held := n.mirrorOf(link.server.name)
	if !place.isHeld || held == nil {
		return
	}
	held.open--
	if place.isBegin && !place.isBegun {
		held.isBlind = true
		n.lines.blind++
	}
	if !place.isBegin {
		held.saw(max(time.Duration(float64(n.clock()-place.at)*place.scale), 30*time.Millisecond))
	}
}

func (n *front) mirrorBeat(now time.Duration) {
	if !n.lines.isMirrored {
		return
	}
	for _, one := range n.lines.servers {
		held := n.mirrorOf(one.name)
		if held == nil {
			continue
		}
		reading, _ := n.reading(one.name)
		before := held.moves
		held.beat(now)
		isFar := math.Abs(held.w-reading.Window) > 1e-6 || math.Abs(held.cal-float64(reading.Cal)) > 2
		if isFar && !held.isBlind {
			n.lines.fault(RuleWindow, "%s for %s: window %v and CAL %v, by the equations %v and %v", n.name, one.name, reading.Window, reading.Cal, held.w, time.Duration(held.cal))
		}
		if isFar {
			held.w, held.cal = reading.Window, float64(reading.Cal)
		}
		held.isBlind = held.isBlind && held.moves == before
		n.lines.moves = max(n.lines.moves, held.moves)
		n.lines.widest, n.lines.slowest = math.Max(n.lines.widest, held.w), math.Max(n.lines.slowest, held.cal)
	}
}

func (l *lines) targetOf(route string) time.Duration {
	if l.size.Loose > 0 && strings.HasSuffix(route, "-stale") {
		return l.size.Loose
	}
	return referenceTarget
}
