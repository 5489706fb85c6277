package modelcheck

import (
	"slices"

	"tansyseam/internal/coordination/consensus"
)

// Fault is the name of a deviation from the normal course of events.
type Fault string

// Faults that happen in place of the delivery of a message.
const (
	MessageLost      Fault = "message lost"
	MessageDelayed   Fault = "message delayed"
	MessageReordered Fault = "message overtaken"
	CrashBeforeSync  Fault = "power lost before a sync"
	CrashAfterSync   Fault = "power lost after a sync"
	FileTorn         Fault = "file torn"
	DiskHangsAtOnce  Fault = "disk hangs at a message"
)

// Faults that happen to a node between messages.
const (
	Killed    Fault = "killed"
	Frozen    Fault = "frozen"
	Isolated  Fault = "isolated"
	DiskHangs Fault = "disk hangs"
	Leaving   Fault = "asked to leave"
	Wiped     Fault = "disk lost"
)

// messageFault may happen in place of the delivery of the oldest message in flight.
type messageFault struct {
	name    Fault
	enabled func(w *world) bool
	apply   func(w *world)
}

// messageFaults lists the faults in the order of the search.
var messageFaults = []messageFault{
	{MessageLost, always, (*world).loseMessage},
	{MessageDelayed, always, (*world).delayMessage},
	{MessageReordered, (*world).hasSecondMessage, func(w *world) { w.deliver(w.secondMessage()) }},
	{CrashBeforeSync, always, func(w *world) { w.crashDuringSync(nil) }},
	{CrashAfterSync, always, func(w *world) { w.crashDuringSync(persist) }},
	{FileTorn, always, func(w *world) { w.crashDuringSync(tear) }},
	{DiskHangsAtOnce, always, func(w *world) { w.hangDuringSync() }},
}

func always(*world) bool { return true }

func (w *world) loseMessage() { w.inFlight = slices.Delete(w.inFlight, 0, 1) }

func (w *world) delayMessage() {
	w.delayed = append(w.delayed, w.inFlight[0])
	w.loseMessage()
}

// secondMessage returns the index of the next message to the receiver of the oldest
// message, or 0 if there is none.
func (w *world) secondMessage() int {
	for index, sent := range w.inFlight {
		if index > 0 && sent.to == w.inFlight[0].to {
			return index
		}
	}
	return 0
}

func (w *world) hasSecondMessage() bool { return w.secondMessage() > 0 }

// hangDuringSync delivers the oldest message to its receiver, whose disk hangs from then
// on, and returns the receiver. If the message causes no save, the fault makes no
// difference and the state is marked as redundant. The state is also marked, and nil is
// returned, if the receiver does not run, is frozen or has a disk that already hangs.
func (w *world) hangDuringSync() *host {
	index := w.find(w.inFlight[0].to)
	h := w.hosts[index]
	if !h.running || h.frozen || h.diskHung {
		w.redundant = true
		return nil
	}
	w.mutableHost(index).diskHung = true
	w.deliver(0)
	h = w.hosts[index]
	w.redundant = h.gate.SyncPending(w.now) == 0
	return h
}

// crashDuringSync stops the node while its disk performs the save that the oldest
// message caused.
func (w *world) crashDuringSync(atDisk func(*host, consensus.Effect)) {
	if h := w.hangDuringSync(); !w.redundant {
		w.stop(h, atDisk)
		h.diskHung = false
	}
}

// hostFault may happen to a node while no message is in flight. enabled must not modify
// the host. apply receives a host that it may modify.
type hostFault struct {
	name    Fault
	enabled func(w *world, h *host) bool
	apply   func(w *world, h *host)
}

var hostFaults = []hostFault{
	{Killed, isRunning, func(w *world, h *host) { w.stop(h, nil) }},
	{Frozen, func(_ *world, h *host) bool { return h.running && !h.frozen }, func(_ *world, h *host) { h.frozen = true }},
	{Isolated, func(_ *world, h *host) bool { return !h.isolated }, func(_ *world, h *host) { h.isolated = true }},
	{DiskHangs, func(_ *world, h *host) bool { return h.running && !h.diskHung }, func(_ *world, h *host) { h.diskHung = true }},
	{Leaving, isRunning, func(w *world, h *host) {
		h.leaving = true
		w.step(h, consensus.Leave{})
	}},
	{Wiped, func(w *world, _ *host) bool { return w.wipes < w.config.MaxWipes }, (*world).wipe},
}

func isRunning(_ *world, h *host) bool { return h.running }

// wipe stops the node and erases its disk.
func (w *world) wipe(h *host) {
	if h.running {
		w.stop(h, nil)
	}
	w.wipes++
	h.files, h.diskHung = files{}, false
	w.retireIncarnations(h)
	h.wiped, h.reportedEpoch = true, 0
}

// recoveries end faults. They are not counted as faults.
var recoveries = []hostFault{
	{"started", func(_ *world, h *host) bool { return !h.running }, func(w *world, h *host) {
		h.diskHung = false
		w.start(h)
	}},
	{"thawed", func(_ *world, h *host) bool { return h.frozen }, (*world).thaw},
	{"reached again", func(_ *world, h *host) bool { return h.isolated }, func(_ *world, h *host) { h.isolated = false }},
	{"disk works again", func(_ *world, h *host) bool { return h.running && h.diskHung }, func(w *world, h *host) {
		h.diskHung = false
		w.sync(h)
	}},
}

// thaw lets a frozen node handle the messages that arrived while it was frozen.
func (w *world) thaw(h *host) {
	h.frozen = false
	inbox := h.inbox
	h.inbox = nil
	for _, received := range inbox {
		w.receive(h, received)
	}
}
