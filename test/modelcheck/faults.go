package modelcheck

import (
	"slices"

	"tansyseam/internal/coordination/consensus"
)

// A move is one way in which a world goes on.
type move func(w *world)

// Faults lists what may go other than by default.
func Faults() []string {
	var names []string
	for _, one := range onMessage {
		names = append(names, one.name)
	}
	for _, one := range onHost {
		names = append(names, one.name)
	}
	return names
}

type fault[T any] struct {
	name string
	is   func(w *world, at T) bool
	act  func(w *world, at T)
}

// While messages are under way, the oldest is delivered, unless one of these
// comes in its place.
var onMessage = []fault[int]{
	{"lost", isAnyMessage, func(w *world, at int) { w.net = slices.Delete(w.net, 0, 1) }},
	{"late", isAnyMessage, func(w *world, at int) {
		w.late = append(w.late, w.net[0])
		w.net = slices.Delete(w.net, 0, 1)
	}},
	{"overtaken", func(w *world, _ int) bool { return w.second() > 0 }, func(w *world, _ int) { w.deliver(w.second()) }},
	{"power lost before a sync", isAnyMessage, func(w *world, _ int) { w.stopAt(nil) }},
	{"power lost after a sync", isAnyMessage, func(w *world, _ int) { w.stopAt(kept) }},
	{"file torn", isAnyMessage, func(w *world, _ int) { w.stopAt(torn) }},
	{"disk hangs at once", isAnyMessage, func(w *world, _ int) { w.stall() }},
}

func isAnyMessage(*world, int) bool { return true }

// second gives the next message to the machine that the oldest goes to.
func (w *world) second() int {
	for at, one := range w.net {
		if at > 0 && one.to == w.net[0].to {
			return at
		}
	}
	return 0
}

// stall delivers the oldest message to a machine whose disk does not get to
// what comes of it.
func (w *world) stall() *host {
	at := w.find(w.net[0].to)
	h := w.hosts[at]
	if !h.isUp || h.isFrozen || h.isHung {
		w.isVoid = true
		return nil
	}
	w.own(at).isHung = true
	w.deliver(0)
	h = w.hosts[at]
	w.isVoid = h.gate.Owed(w.now) == 0
	return h
}

// stopAt ends that machine there.
func (w *world) stopAt(end func(*host, consensus.Effect)) {
	if h := w.stall(); !w.isVoid {
		w.stop(h, end)
		h.isHung = false
	}
}

// Between rounds, any of these may come to a machine.
var onHost = []fault[int]{
	{"killed", isUp, func(w *world, at int) { w.stop(w.own(at), nil) }},
	{"frozen", func(w *world, at int) bool { return isUp(w, at) && !w.hosts[at].isFrozen }, func(w *world, at int) { w.own(at).isFrozen = true }},
	{"cut off", func(w *world, at int) bool { return !w.hosts[at].isAlone }, func(w *world, at int) { w.own(at).isAlone = true }},
	{"disk hangs", func(w *world, at int) bool { return isUp(w, at) && !w.hosts[at].isHung }, func(w *world, at int) { w.own(at).isHung = true }},
	{"told to end", isUp, func(w *world, at int) { w.step(w.own(at), consensus.Leave{}) }},
	{"wiped", func(w *world, at int) bool { return w.wipes < w.shape.Wipes }, func(w *world, at int) {
		h := w.own(at)
		if h.isUp {
			w.stop(h, nil)
		}
		w.wipes++
		h.files, h.isHung = files{}, false
		w.forgets(h)
		h.isWiped, h.told = true, 0
	}},
}

// isWhole says whether the fleet can bear a loss: there is a primary with a backup,
// and all voters are there and know its record.
func (w *world) isWhole() bool {
	var record consensus.Record
	for _, one := range w.hosts {
		if one.isUp && w.now < one.primacy {
			record = one.machine.Record()
		}
	}
	return record.Backup != "" && !slices.ContainsFunc(record.Voters.Names(), func(name string) bool {
		one := w.hosts[w.find(name)]
		return !one.isUp || one.isFrozen || one.isAlone || one.isHung || !one.machine.IsMember() || one.machine.Record() != record
	})
}

func isUp(w *world, at int) bool { return w.hosts[at].isUp }

// What ends a fault comes between rounds too, and is none.
var mends = []fault[int]{
	{"started", func(w *world, at int) bool { return !w.hosts[at].isUp }, func(w *world, at int) {
		h := w.own(at)
		h.isHung = false
		w.start(h)
	}},
	{"thawed", func(w *world, at int) bool { return w.hosts[at].isFrozen }, func(w *world, at int) {
		h := w.own(at)
		h.isFrozen = false
		inbox := h.inbox
		h.inbox = nil
		for _, one := range inbox {
			w.hear(h, one)
		}
	}},
	{"reached again", func(w *world, at int) bool { return w.hosts[at].isAlone }, func(w *world, at int) { w.own(at).isAlone = false }},
	{"disk well", func(w *world, at int) bool { return w.hosts[at].isUp && w.hosts[at].isHung }, func(w *world, at int) {
		h := w.own(at)
		h.isHung = false
		w.sync(h)
	}},
}

func (w *world) fork(step course, act move) *world {
	other := w.clone()
	step.before, step.at = w.course, w.now
	other.course = &step
	act(other)
	return other
}

func (w *world) allows(name string) bool {
	return w.faults < w.shape.Faults && (len(w.shape.Only) == 0 || slices.Contains(w.shape.Only, name))
}

func (w *world) next() []*world {
	return slices.DeleteFunc(w.moves(), func(other *world) bool { return other.isVoid })
}

func (w *world) moves() []*world {
	if len(w.net) > 0 {
		return w.nextMessage()
	}
	var list []*world
	for at, one := range w.hosts {
		for _, mend := range mends {
			if mend.is(w, at) {
				list = append(list, w.fork(course{who: one.name + " ", what: mend.name}, func(other *world) { mend.act(other, at) }))
			}
		}
		for _, fault := range onHost {
			isHere := len(w.shape.At) == 0 || slices.Contains(w.shape.At, one.name)
			if isHere && w.allows(fault.name) && fault.is(w, at) && (!w.shape.IsSpaced || w.isWhole()) {
				list = append(list, w.fork(course{who: one.name + " ", what: fault.name}, func(other *world) {
					other.faults++
					fault.act(other, at)
				}))
			}
		}
	}
	for at, one := range w.late {
		list = append(list, w.fork(course{one: &one, what: "comes late"}, func(other *world) {
			other.late = slices.Delete(other.late, at, at+1)
			other.net = append(other.net, one)
		}))
	}
	if w.rounds < w.shape.Rounds {
		list = append(list, w.fork(course{what: "next round"}, (*world).turn))
	}
	return list
}

func (w *world) nextMessage() []*world {
	one := w.net[0]
	var list []*world
	for _, fault := range onMessage {
		if w.allows(fault.name) && fault.is(w, 0) {
			list = append(list, w.fork(course{one: &one, what: fault.name}, func(other *world) {
				other.faults++
				fault.act(other, 0)
			}))
		}
	}
	return append(list, w.fork(course{one: &one}, func(other *world) { other.deliver(0) }))
}
