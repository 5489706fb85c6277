package modelcheck

import "slices"

// isFinal reports whether the last round is over.
func (w *world) isFinal() bool { return w.rounds >= w.config.Rounds && len(w.inFlight) == 0 }

// successors returns the states that one event or fault leads to.
func (w *world) successors() []*world {
	list := w.betweenMessages
	if len(w.inFlight) > 0 {
		list = w.atMessage
	}
	return slices.DeleteFunc(list(), func(next *world) bool { return next.redundant })
}

// after returns the state after an event.
func (w *world) after(step traceStep, apply func(next *world)) *world {
	next := w.clone()
	step.previous, step.at = w.trace, w.now
	next.trace = &step
	apply(next)
	return next
}

// atMessage returns the successors in which the oldest message in flight is delivered
// or affected by a fault.
func (w *world) atMessage() []*world {
	oldest := w.inFlight[0]
	var list []*world
	for _, fault := range messageFaults {
		if w.allowsFault(fault.name) && fault.enabled(w) {
			list = append(list, w.after(traceStep{message: &oldest, action: string(fault.name)}, func(next *world) {
				next.faults++
				fault.apply(next)
			}))
		}
	}
	return append(list, w.after(traceStep{message: &oldest}, func(next *world) { next.deliver(0) }))
}

// betweenMessages returns the successors of a state without messages in flight.
func (w *world) betweenMessages() []*world {
	var list []*world
	for index := range w.hosts {
		list = append(list, w.recoveriesOf(index)...)
		list = append(list, w.faultsOf(index)...)
	}
	for index, late := range w.delayed {
		list = append(list, w.after(traceStep{message: &late, action: "delivered late"}, func(next *world) {
			next.delayed = slices.Delete(next.delayed, index, index+1)
			next.inFlight = append(next.inFlight, late)
		}))
	}
	if w.rounds < w.config.Rounds {
		list = append(list, w.after(traceStep{action: "next round"}, (*world).startRound))
	}
	return list
}

func (w *world) recoveriesOf(index int) []*world {
	h := w.hosts[index]
	var list []*world
	for _, recovery := range recoveries {
		if recovery.enabled(w, h) {
			list = append(list, w.after(traceStep{host: h.name, action: string(recovery.name)}, func(next *world) {
				recovery.apply(next, next.mutableHost(index))
			}))
		}
	}
	return list
}

func (w *world) faultsOf(index int) []*world {
	h := w.hosts[index]
	if len(w.config.FaultHosts) > 0 && !slices.Contains(w.config.FaultHosts, h.name) {
		return nil
	}
	if w.config.FaultsWhenHealthyOnly && !w.isHealthy() {
		return nil
	}
	var list []*world
	for _, fault := range hostFaults {
		if w.allowsFault(fault.name) && fault.enabled(w, h) {
			list = append(list, w.after(traceStep{host: h.name, action: string(fault.name)}, func(next *world) {
				next.faults++
				fault.apply(next, next.mutableHost(index))
			}))
		}
	}
	return list
}

func (w *world) allowsFault(name Fault) bool {
	isAllowed := len(w.config.AllowedFaults) == 0 || slices.Contains(w.config.AllowedFaults, name)
	return w.faults < w.config.MaxFaults && isAllowed
}
