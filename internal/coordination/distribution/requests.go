package distribution

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// DefaultPollTimeout is the longest time that a request waits for an update unless
// lease.Timing sets another.
const DefaultPollTimeout = 250 * time.Millisecond

// settleDelay is the time that a request waits before it is answered with an update that
// is not urgent, so that changes in quick succession are sent together.
const settleDelay = 100 * time.Millisecond

type pendingRequest struct {
	request    UpdateRequest
	token      uint64
	receivedAt time.Duration
	// abandoned is true if the node has sent a later request, so that it ignores the
	// reply to this one.
	abandoned bool
	// tenureCount is the machine's tenureCount when the request was received.
	// baselineMissing is true if the request leaves out reports that this tenure does
	// not have.
	tenureCount     uint64
	baselineMissing bool
}

// Reply is the response that the caller sends to the request with the token.
type Reply struct {
	Token  uint64
	Update Update
}

// HandleRequest adds a request to the pending ones. Flush returns its reply, which carries
// the same token.
func (m *Machine) HandleRequest(request UpdateRequest, token uint64, now time.Duration) {
	hasBaseline := request.BaselineTenure == m.tenureNumber && m.nodesWithBaseline[request.Node]
	baselineMissing := request.BaselineTenure != 0 && !hasBaseline
	if request.Kind == model.KindProxy && !baselineMissing {
		m.processRequest(request, now)
	}
	m.abandonEarlier(request)
	m.pending = append(m.pending, pendingRequest{
		request: request, token: token, receivedAt: now, tenureCount: m.tenureCount, baselineMissing: baselineMissing,
	})
}

// abandonEarlier marks the pending requests that a node sent before the given one.
func (m *Machine) abandonEarlier(request UpdateRequest) {
	for index, pending := range m.pending {
		earlier := pending.request
		isSameRun := earlier.Node == request.Node && earlier.Incarnation == request.Incarnation
		if isSameRun && earlier.RequestNumber < request.RequestNumber {
			m.pending[index].abandoned = true
		}
	}
}

func (m *Machine) processRequest(request UpdateRequest, now time.Duration) {
	m.coverage.countLapses(m.grantor.LapseCount(now))
	delayed := m.trackIncarnation(request)
	m.grantor.Acknowledge(request.Node, request.Version, now)
	if request.WithoutLease && !delayed && request.Incarnation != 0 {
		m.grantor.Release(request.Node, now)
	}
	if !delayed {
		m.nodesWithBaseline[request.Node] = true
		m.storeReports(request.Node, request.Reports, true, now)
	}
	m.raiseWatermarks(request.HighWatermarks)
	m.activeSequences[request.Node] = request.ActiveSequence
	m.highestActive = max(m.highestActive, request.ActiveSequence)
}

// Flush returns the replies that are due. These are the replies to requests that have an
// update or have reached the poll timeout, and to requests whose baseline is missing. If
// this node is not the primary, every pending request gets a reply. A reply with a snapshot
// waits while the links are busy with earlier ones.
func (m *Machine) Flush(isPrimary bool, links Links, wallNanos int64, now time.Duration) []Reply {
	window := newSendWindow(links)
	var replies []Reply
	var waiting []pendingRequest
	for _, pending := range m.pending {
		update, due := m.reply(pending, isPrimary, &window, wallNanos, now)
		if due {
			replies = append(replies, Reply{Token: pending.token, Update: update})
		} else {
			waiting = append(waiting, pending)
		}
	}
	m.pending = waiting
	return replies
}

// reply returns the reply to a request, and whether it is due.
func (m *Machine) reply(pending pendingRequest, isPrimary bool, window *sendWindow, wallNanos int64, now time.Duration) (Update, bool) {
	update := Update{FromPrimary: isPrimary, Record: m.record, PrimaryTime: wallNanos, QueuedFor: now - pending.receivedAt}
	if !isPrimary {
		return update, true
	}
	if pending.abandoned {
		return Update{Record: m.record}, true
	}
	if !m.isBaselineMissing(pending) && m.mayWait(pending, wallNanos, now) {
		return Update{}, false
	}
	if needsSnapshot := m.needsSnapshot(pending); needsSnapshot && !window.admits(pending.request) {
		return Update{}, false
	}
	m.fillUpdate(&update, pending, wallNanos, now)
	window.reserve(update)
	return update, true
}

// needsSnapshot reports whether the reply to a request carries a snapshot.
func (m *Machine) needsSnapshot(pending pendingRequest) bool {
	return !m.isBaselineMissing(pending) && pending.request.Version.IsBefore(m.snapshot.Version)
}

// isBaselineMissing reports whether this tenure lacks reports of the requesting node,
// because the request left them out or was received by the previous tenure.
func (m *Machine) isBaselineMissing(pending pendingRequest) bool {
	return pending.baselineMissing || pending.tenureCount != m.tenureCount
}

// mayWait reports whether a request may wait longer, because it has no update yet or only
// an update that is not urgent.
func (m *Machine) mayWait(pending pendingRequest, wallNanos int64, now time.Duration) bool {
	if now >= pending.receivedAt+m.pollTimeout() || m.activatedSince(pending.receivedAt, wallNanos, now) {
		return false
	}
	request := pending.request
	delayElapsed := now >= pending.receivedAt+settleDelay
	if request.Version.IsBefore(m.snapshot.Version) && (delayElapsed || m.isUrgent(request)) {
		return false
	}
	if !m.hasInstanceUpdate(request, wallNanos) {
		return true
	}
	isFirstList := request.ListVersion.Tenure != m.tenure
	return !isFirstList && !delayElapsed
}

// fillUpdate adds the data that only the primary has to an update. A lease is granted only
// together with the newest snapshot.
func (m *Machine) fillUpdate(update *Update, pending pendingRequest, wallNanos int64, now time.Duration) {
	m.ensureTenure(wallNanos)
	update.Tenure = m.tenureNumber
	if m.isBaselineMissing(pending) {
		return
	}
	request := pending.request
	if request.Version.IsBefore(m.snapshot.Version) {
		update.Snapshot = m.snapshotFor(request)
	}
	if m.hasInstanceUpdate(request, wallNanos) {
		update.ListVersion = m.listVersion(wallNanos)
		update.Instances = m.instances.changedSince(m.listNumberOf(request.ListVersion))
	}
	if request.Kind == model.KindProxy && m.isRegistered(request.Node) && !m.registering[request.Node] {
		update.LeaseDuration = m.grantor.Grant(request.Node, m.maxLease(wallNanos), now)
	}
}

func (m *Machine) pollTimeout() time.Duration {
	if m.timing.PollTimeout == 0 {
		return DefaultPollTimeout
	}
	return m.timing.PollTimeout
}

// activatedSince reports whether the newest set has taken effect since a request was
// received. The set's effective time limited the leases until then and no longer does.
func (m *Machine) activatedSince(receivedAt time.Duration, wallNanos int64, now time.Duration) bool {
	effectiveAt := m.snapshot.NewestSet().EffectiveAt
	if effectiveAt == 0 || effectiveAt > wallNanos {
		return false
	}
	return receivedAt < now-time.Duration(wallNanos-effectiveAt)
}

// isUrgent reports whether a change that must be sent to nodes immediately was written
// after a request's version. Every change is urgent, except an open writer role with
// synchronous replication that was never moved by a promotion.
func (m *Machine) isUrgent(request UpdateRequest) bool {
	if !m.hasVersionOfTenure(request) {
		return true
	}
	isNewer := func(key string) bool { return request.Version.IsBefore(m.state.Records[key].Version) }
	isSetNewer := func(set model.BindingSet) bool { return isNewer(model.BindingSetKey(set.Sequence)) }
	if slices.ContainsFunc(m.snapshot.Sets, isSetNewer) {
		return true
	}
	for database, role := range m.snapshot.Writers {
		isDeferrable := role.SyncReplication && role.Phase == model.PhaseOpen && role.Promoter == ""
		if !isDeferrable && isNewer(model.PrefixWriterRole+database) {
			return true
		}
	}
	return false
}

// hasVersionOfTenure reports whether a request's version was published by this tenure, in
// which case the records written after that version are known.
func (m *Machine) hasVersionOfTenure(request UpdateRequest) bool {
	return m.firstVersion != (store.Version{}) && !request.Version.IsBefore(m.firstVersion)
}

func (m *Machine) snapshotFor(request UpdateRequest) *model.Snapshot {
	snapshot := m.snapshot
	if request.AcceptsDelta && m.hasVersionOfTenure(request) {
		snapshot = snapshot.DeltaSince(request.Version, m.state)
	}
	if request.AcceptsSetChanges {
		snapshot = snapshot.WithChanges(m.setCache.held(m.snapshot.Sets, request.HeldSets), m.setCache.changeFrom)
	}
	return &snapshot
}
