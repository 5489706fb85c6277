package model

import (
	"tansyseam/internal/state/encoded"
	"tansyseam/internal/state/store"
)

// Departure records that an instance with synchronous replication has announced that it
// is leaving or has stopped. It is written before that announcement is acknowledged.
type Departure struct {
	// Instance is the announcement. If it is a stop announcement of an instance that the
	// control primary did not know, only Name, SyncReplication, Leaving and Stopped are set.
	Instance Instance
	// RecordedAt is the cluster's wall time in ns since 1970.
	RecordedAt int64
}

// DepartureKey returns the key of an instance's departure.
func DepartureKey(instance string) string { return PrefixDeparture + instance }

// Covers reports whether the departure already records what an announcement says about
// the departure of the instance.
func (d Departure) Covers(announced Instance) bool {
	if announced.Stopped {
		return d.Instance.Stopped
	}
	return true
}

// Apply returns an announcement as it must be treated after the departure. A stop is
// final. An instance that was leaving is still leaving according to each announcement that
// it sent before, which may arrive late.
func (d Departure) Apply(announced Instance) Instance {
	if d.Instance.Stopped {
		announced.Leaving, announced.Stopped = true, true
	}
	if announced.AnnouncementNumber <= d.Instance.AnnouncementNumber {
		announced.Leaving = true
	}
	return announced
}

// ReadDepartures reads the departures from the control state, by the name of the instance.
// It reuses the previous departures, which were read from previousState, that were not
// written since. previousState is nil if there are none.
func ReadDepartures(state *store.Table, previous map[string]Departure, previousState *store.Table) map[string]Departure {
	reader := snapshotReader{state: state, previousState: previousState}
	previousByKey := make(map[string]Departure, len(previous))
	for name, departure := range previous {
		previousByKey[DepartureKey(name)] = departure
	}
	departures := map[string]Departure{}
	for _, departure := range readRecords(&reader, PrefixDeparture, previousByKey, DepartureFrom) {
		departures[departure.Instance.Name] = departure
	}
	return departures
}

// Encoded returns the form that is stored.
func (d Departure) Encoded() encoded.Departure {
	return encoded.Departure{Instance: d.Instance.Encoded(), RecordedAt: d.RecordedAt}
}

// DepartureFrom converts the form that is stored.
func DepartureFrom(e encoded.Departure) Departure {
	return Departure{Instance: InstanceFrom(e.Instance), RecordedAt: e.RecordedAt}
}
