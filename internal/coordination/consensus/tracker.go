package consensus

import (
	"maps"
	"time"

	"tansyseam/internal/state/store"
)

// voterTracker holds what the primary knows about the other voters. It is created anew
// when a node becomes primary, and the entries of replaced voters are removed.
type voterTracker struct {
	// since is when the node became primary or the voters last changed. The silence of
	// a voter is counted from then at the earliest.
	since time.Duration
	// lastAck is when each voter last replied to a renewal of the lease.
	lastAck map[string]time.Duration
	// spareVersions holds the version up to which each spare voter has synced the
	// replica.
	spareVersions map[string]store.Version
	// excludedUntil holds, for each voter that failed as backup or was not repaired in
	// time to become it, the time before which it is not tried again.
	excludedUntil map[string]time.Duration
}

func newVoterTracker(now time.Duration) voterTracker {
	return voterTracker{
		since:         now,
		lastAck:       map[string]time.Duration{},
		spareVersions: map[string]store.Version{},
		excludedUntil: map[string]time.Duration{},
	}
}

func (t voterTracker) clone() voterTracker {
	t.lastAck = maps.Clone(t.lastAck)
	t.spareVersions = maps.Clone(t.spareVersions)
	t.excludedUntil = maps.Clone(t.excludedUntil)
	return t
}

// forget removes all entries of one voter.
func (t *voterTracker) forget(name string) {
	delete(t.lastAck, name)
	delete(t.spareVersions, name)
	delete(t.excludedUntil, name)
}

// acknowledgedWithin reports whether a voter has replied to a renewal of the lease
// within the given span before now.
func (t *voterTracker) acknowledgedWithin(span time.Duration, name string, now time.Duration) bool {
	at, ok := t.lastAck[name]
	return ok && now-at < span
}

// silence returns how long a voter has not replied, counted from since at the earliest.
func (t *voterTracker) silence(name string, now time.Duration) time.Duration {
	return now - max(t.lastAck[name], t.since)
}

// exclude prevents a voter from being tried as backup before the given time.
func (t *voterTracker) exclude(name string, until time.Duration) { t.excludedUntil[name] = until }

func (t *voterTracker) isExcluded(name string, now time.Duration) bool {
	return now < t.excludedUntil[name]
}

// noteSpareVersion records that a spare voter has synced the replica up to a version.
func (t *voterTracker) noteSpareVersion(name string, version store.Version) {
	if t.spareVersions[name].IsBefore(version) {
		t.spareVersions[name] = version
	}
}

// noteSpareBehind records that a spare voter lacks writes, so that its version is
// unknown.
func (t *voterTracker) noteSpareBehind(name string) { delete(t.spareVersions, name) }

// hasSpareSynced reports whether a spare voter has synced the replica up to a version.
func (t *voterTracker) hasSpareSynced(name string, version store.Version) bool {
	return !t.spareVersions[name].IsBefore(version)
}
