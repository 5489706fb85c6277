package consensus

import (
	"maps"
	"time"

	"tansyseam/internal/state/store"
)

// voterTracker is what the primary knows of the other voters. It begins anew when a node
// becomes primary, and forgets the voters that are replaced.
type voterTracker struct {
	// since is when this primary began to count on its voters: when it became primary,
	// or the voters last changed.
	since time.Duration
	// lastAck is when each voter last replied to a renewal of the lease.
	lastAck map[string]time.Duration
	// spareVersions are the versions up to which spare voters have synced the replica.
	spareVersions map[string]store.Version
	// excludedUntil is until when a voter that failed as backup is not tried again.
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

// forget drops all that is known of one voter.
func (t *voterTracker) forget(name string) {
	delete(t.lastAck, name)
	delete(t.spareVersions, name)
	delete(t.excludedUntil, name)
}

// acknowledgedWithin says whether a voter has replied to a renewal of the lease within
// a span before now.
func (t *voterTracker) acknowledgedWithin(span time.Duration, name string, now time.Duration) bool {
	at, ok := t.lastAck[name]
	return ok && now-at < span
}

// silence is for how long a voter has not replied since it is counted on.
func (t *voterTracker) silence(name string, now time.Duration) time.Duration {
	return now - max(t.lastAck[name], t.since)
}

// exclude has a voter not tried as backup before a moment.
func (t *voterTracker) exclude(name string, until time.Duration) { t.excludedUntil[name] = until }

func (t *voterTracker) isExcluded(name string, now time.Duration) bool {
	return now < t.excludedUntil[name]
}

// noteSpareVersion notes that a spare voter has synced the replica up to a version.
func (t *voterTracker) noteSpareVersion(name string, version store.Version) {
	if t.spareVersions[name].IsBefore(version) {
		t.spareVersions[name] = version
	}
}

// noteSpareBehind notes that a spare voter lacks writes, in what version is unknown.
func (t *voterTracker) noteSpareBehind(name string) { delete(t.spareVersions, name) }

// hasSpareSynced says whether a spare voter has synced the replica up to a version.
func (t *voterTracker) hasSpareSynced(name string, version store.Version) bool {
	return !t.spareVersions[name].IsBefore(version)
}
