package distribution

import (
	"maps"
	"slices"
	"time"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// departureRetention is how long a departure is kept. It exceeds the time that an instance
// still serves after its departure, and the delay of the announcements that it sent before.
const departureRetention = 5 * time.Minute

// departureList holds the recorded departures of instances and those to be recorded.
//
// The acknowledgement of an announcement that an instance is leaving or has stopped binds
// the whole control plane: nothing may be sent to the instance from a bounded time after
// it on. A later primary that has not received the announcement itself may receive older
// ones late. The departure is therefore part of the control state before it is
// acknowledged.
type departureList struct {
	// recorded holds the departures in the control state, by the name of the instance.
	recorded map[string]model.Departure
	// waiting holds the departures that no write includes yet, by name.
	waiting map[string]waitingDeparture
	// writing is true while a write returned by NextDepartures is pending.
	writing bool
}

type waitingDeparture struct {
	instance model.Instance
	replies  []func(recorded bool)
}

func newDepartureList() departureList { return departureList{waiting: map[string]waitingDeparture{}} }

// DepartureWrite is a write of departures that the caller carries out. FinishDepartures
// must be called when the write has ended, then Reply.
type DepartureWrite struct {
	Build   func(*store.Table) []store.Put
	replies []func(recorded bool)
}

// Reply answers the announcements whose departures the write was to record.
func (w DepartureWrite) Reply(recorded bool) {
	for _, reply := range w.replies {
		reply(recorded)
	}
}

// WithDeparture returns an announcement as it must be treated after the recorded departure
// of the instance, if there is one.
func (m *Machine) WithDeparture(announced model.Instance) model.Instance {
	departure, found := m.departures.recorded[announced.Name]
	if !found {
		return announced
	}
	return departure.Apply(announced)
}

// RequiresDeparture reports whether a departure must be recorded before an announcement is
// acknowledged.
func (m *Machine) RequiresDeparture(announced model.Instance) bool {
	departs := announced.SyncReplication && (announced.Leaving || announced.Stopped)
	departure, found := m.departures.recorded[announced.Name]
	return departs && !(found && departure.Covers(announced))
}

// AddDeparture adds a departure to the next write that NextDepartures returns. The reply is
// called with true once the departure is committed, or with false if it may not be.
func (m *Machine) AddDeparture(announced model.Instance, reply func(recorded bool)) {
	waiting := m.departures.waiting[announced.Name]
	if !waiting.instance.Stopped {
		waiting.instance = announced
	}
	waiting.replies = append(waiting.replies, reply)
	m.departures.waiting[announced.Name] = waiting
}

// NextDepartures returns the write that records all waiting departures and deletes those
// that are past their retention, if there are any and no such write is pending.
func (m *Machine) NextDepartures(wallNanos int64) (DepartureWrite, bool) {
	expired := m.expiredDepartures(wallNanos)
	if m.departures.writing || len(m.departures.waiting)+len(expired) == 0 {
		return DepartureWrite{}, false
	}
	m.departures.writing = true
	var puts []store.Put
	for _, name := range expired {
		puts = append(puts, store.Put{Key: model.DepartureKey(name), Deleted: true})
	}
	for _, name := range slices.Sorted(maps.Keys(m.departures.waiting)) {
		waiting := m.departures.waiting[name]
		departure := model.Departure{Instance: waiting.instance, RecordedAt: wallNanos}
		puts = append(puts, store.Put{Key: model.DepartureKey(name), Data: store.Encode(departure)})
	}
	write := m.takeWaiting()
	write.Build = func(*store.Table) []store.Put { return puts }
	return write, true
}

// RejectDepartures removes the waiting departures of a node that is no longer primary.
// Reply must be called with false on the result.
func (m *Machine) RejectDepartures() DepartureWrite { return m.takeWaiting() }

// takeWaiting removes the waiting departures, and returns their replies.
func (m *Machine) takeWaiting() DepartureWrite {
	var write DepartureWrite
	for _, name := range slices.Sorted(maps.Keys(m.departures.waiting)) {
		write.replies = append(write.replies, m.departures.waiting[name].replies...)
	}
	clear(m.departures.waiting)
	return write
}

// FinishDepartures ends the write that NextDepartures returned, whether or not it succeeded.
func (m *Machine) FinishDepartures() { m.departures.writing = false }

// expiredDepartures returns the names of the instances whose departures are past their
// retention and are not recorded anew, sorted.
func (m *Machine) expiredDepartures(wallNanos int64) []string {
	var names []string
	for name, departure := range m.departures.recorded {
		_, waiting := m.departures.waiting[name]
		if !waiting && wallNanos-departure.RecordedAt > int64(departureRetention) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
