package modelcheck

import (
	"slices"

	"tansyseam/internal/coordination/consensus"
)

// A move is one way in which a world goes on.
type transition func(w *world)

// Faults lists what may go other than by default.
func FaultNames() []string {
	var names []string
	for _, one := range messageFaults {
		names = append(names, one.name)
	}
	for _, one := range hostFaults {
		names = append(names, one.name)
	}
	return names
}

type fault[T any] struct {
	name    string
	enabled func(w *world, at T) bool
	apply   func(w *world, at T)
}

// While messages are under way, the oldest is delivered, unless one of these
// comes in its place.
var messageFaults = []fault[int]{
	{"lost", isAnyMessage, func(w *world, at int) { w.inFlight = slices.Delete(w.inFlight, 0, 1) }},
	{"late", isAnyMessage, func(w *world, at int) {
		w.delayed = append(w.delayed, w.inFlight[0])
		w.inFlight = slices.Delete(w.inFlight, 0, 1)
	}},
	{"overtaken", func(w *world, _ int) bool { return w.second() > 0 }, func(w *world, _ int) { w.deliver(w.second()) }},
	{"power lost before a sync", isAnyMessage, func(w *world, _ int) { w.crashDuringSync(nil) }},
	{"power lost after a sync", isAnyMessage, func(w *world, _ int) { w.crashDuringSync(persist) }},
	{"file torn", isAnyMessage, func(w *world, _ int) { w.crashDuringSync(tear) }},
	{"disk hangs at once", isAnyMessage, func(w *world, _ int) { w.stall() }},
}

func isAnyMessage(*world, int) bool { return true }

// second gives the next message to the machine that the oldest goes to.
func (w *world) second() int {
	for at, one := range w.inFlight {
		if at > 0 && one.to == w.inFlight[0].to {
			return at
		}
	}
	return 0
}

// stall delivers the oldest message to a machine whose disk does not get to
// what comes of it.
func (w *world) stall() *host {
	at := w.find(w.inFlight[0].to)
	h := w.hosts[at]
	if !h.running || h.frozen || h.diskHung {
		w.redundant = true
		return nil
	}
	w.mutableHost(at).diskHung = true
	w.deliver(0)
	h = w.hosts[at]
	w.redundant = h.gate.SyncPending(w.now) == 0
	return h
}

// stopAt ends that machine there.
func (w *world) crashDuringSync(end func(*host, consensus.Effect)) {
	if h := w.stall(); !w.redundant {
		w.stop(h, end)
		h.diskHung = false
	}
}

// Between rounds, any of these may come to a machine.
var hostFaults = []fault[int]{
	{"killed", isRunning, func(w *world, at int) { w.stop(w.mutableHost(at), nil) }},
	{"frozen", func(w *world, at int) bool { return isRunning(w, at) && !w.hosts[at].frozen }, func(w *world, at int) { w.mutableHost(at).frozen = true }},
	{"cut off", func(w *world, at int) bool { return !w.hosts[at].isolated }, func(w *world, at int) { w.mutableHost(at).isolated = true }},
	{"disk hangs", func(w *world, at int) bool { return isRunning(w, at) && !w.hosts[at].diskHung }, func(w *world, at int) { w.mutableHost(at).diskHung = true }},
	{"told to end", isRunning, func(w *world, at int) { w.step(w.mutableHost(at), consensus.Leave{}) }},
	{"wiped", func(w *world, at int) bool { return w.wipes < w.config.MaxWipes }, func(w *world, at int) {
		h := w.mutableHost(at)
		if h.running {
			w.stop(h, nil)
		}
		w.wipes++
		h.files, h.diskHung = files{}, false
		w.retireIncarnations(h)
		h.wiped, h.reportedEpoch = true, 0
	}},
}

// isWhole says whether the fleet can bear a loss: there is a primary with a backup,
// and all voters are there and know its record.
func (w *world) isHealthy() bool {
	var record consensus.Record
	for _, one := range w.hosts {
		if one.running && w.now < one.leaseUntil {
			record = one.machine.Record()
		}
	}
	return record.Backup != "" && !slices.ContainsFunc(record.Voters.Names(), func(name string) bool {
		one := w.hosts[w.find(name)]
		return !one.running || one.frozen || one.isolated || one.diskHung || !one.machine.IsMember() || one.machine.Record() != record
	})
}

func isRunning(w *world, at int) bool { return w.hosts[at].running }

// What ends a fault comes between rounds too, and is none.
var recoveries = []fault[int]{
	{"started", func(w *world, at int) bool { return !w.hosts[at].running }, func(w *world, at int) {
		h := w.mutableHost(at)
		h.diskHung = false
		w.start(h)
	}},
	{"thawed", func(w *world, at int) bool { return w.hosts[at].frozen }, func(w *world, at int) {
		h := w.mutableHost(at)
		h.frozen = false
		inbox := h.inbox
		h.inbox = nil
		for _, one := range inbox {
			w.receive(h, one)
		}
	}},
	{"reached again", func(w *world, at int) bool { return w.hosts[at].isolated }, func(w *world, at int) { w.mutableHost(at).isolated = false }},
	{"disk well", func(w *world, at int) bool { return w.hosts[at].running && w.hosts[at].diskHung }, func(w *world, at int) {
		h := w.mutableHost(at)
		h.diskHung = false
		w.sync(h)
	}},
}

func (w *world) fork(step traceStep, act transition) *world {
	other := w.clone()
	step.previous, step.at = w.trace, w.now
	other.trace = &step
	act(other)
	return other
}

func (w *world) allowsFault(name string) bool {
	return w.faults < w.config.MaxFaults && (len(w.config.AllowedFaults) == 0 || slices.Contains(w.config.AllowedFaults, name))
}

func (w *world) successors() []*world {
	return slices.DeleteFunc(w.transitions(), func(other *world) bool { return other.redundant })
}

func (w *world) transitions() []*world {
	if len(w.inFlight) > 0 {
		return w.messageTransitions()
	}
	var list []*world
	for at, one := range w.hosts {
		for _, mend := range recoveries {
			if mend.enabled(w, at) {
				list = append(list, w.fork(traceStep{host: one.name + " ", action: mend.name}, func(other *world) { mend.apply(other, at) }))
			}
		}
		for _, fault := range hostFaults {
			isHere := len(w.config.FaultHosts) == 0 || slices.Contains(w.config.FaultHosts, one.name)
			if isHere && w.allowsFault(fault.name) && fault.enabled(w, at) && (!w.config.FaultsWhenHealthyOnly || w.isHealthy()) {
				list = append(list, w.fork(traceStep{host: one.name + " ", action: fault.name}, func(other *world) {
					other.faults++
					fault.apply(other, at)
				}))
			}
		}
	}
	for at, one := range w.delayed {
		list = append(list, w.fork(traceStep{message: &one, action: "comes late"}, func(other *world) {
			other.delayed = slices.Delete(other.delayed, at, at+1)
			other.inFlight = append(other.inFlight, one)
		}))
	}
	if w.rounds < w.config.Rounds {
		list = append(list, w.fork(traceStep{action: "next round"}, (*world).startRound))
	}
	return list
}

func (w *world) messageTransitions() []*world {
	one := w.inFlight[0]
	var list []*world
	for _, fault := range messageFaults {
		if w.allowsFault(fault.name) && fault.enabled(w, 0) {
			list = append(list, w.fork(traceStep{message: &one, action: fault.name}, func(other *world) {
				other.faults++
				fault.apply(other, 0)
			}))
		}
	}
	return append(list, w.fork(traceStep{message: &one}, func(other *world) { other.deliver(0) }))
}
