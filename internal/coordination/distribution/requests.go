package distribution

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// DefaultPollTimeout is the longest that a request waits for an update if the timing
// gives no other time.
const DefaultPollTimeout = 250 * time.Millisecond

// settleDelay is how long a request waits before it gets an update that is not
// urgent, so that changes which come one after the other are sent together.
const settleDelay = 100 * time.Millisecond

type pendingRequest struct {
	request    UpdateRequest
	token      uint64
	receivedAt time.Duration
	// tenureCount is that of the tenure in which the request came; incomplete says
	// that the request leaves out reports that this tenure does not have.
	tenureCount     uint64
	baselineMissing bool
}

// Reply is an effect: the response to the request of a token.
type Reply struct {
	Token  uint64
	Update Update
}

// HandleRequest takes a request in; Flush returns the reply.
func (m *Machine) HandleRequest(request UpdateRequest, token uint64, now time.Duration) {
	hasBaseline := request.BaselineTenure == m.tenureNumber && m.nodesWithBaseline[request.Node]
	baselineMissing := request.BaselineTenure != 0 && !hasBaseline
	if request.Kind == model.KindProxy && !baselineMissing {
		m.processRequest(request, now)
	}
	m.pending = append(m.pending, pendingRequest{
		request: request, token: token, receivedAt: now, tenureCount: m.tenureCount, baselineMissing: baselineMissing,
	})
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

// Flush returns the replies to the requests for which there is an update, and to
// those that have waited long enough.
func (m *Machine) Flush(isPrimary bool, wallNanos int64, now time.Duration) []Reply {
	var replies []Reply
	var waiting []pendingRequest
	for _, pending := range m.pending {
		if isPrimary && !m.isBaselineMissing(pending) && m.mayWait(pending, wallNanos, now) {
			waiting = append(waiting, pending)
			continue
		}
		update := Update{FromPrimary: isPrimary, Record: m.record, PrimaryTime: wallNanos, QueuedFor: now - pending.receivedAt}
		if isPrimary {
			m.fillUpdate(&update, pending, wallNanos, now)
		}
		replies = append(replies, Reply{Token: pending.token, Update: update})
	}
	m.pending = waiting
	return replies
}

// isBaselineMissing says whether this tenure lacks what a request left out or reported to
// the tenure before.
func (m *Machine) isBaselineMissing(pending pendingRequest) bool {
	return pending.baselineMissing || pending.tenureCount != m.tenureCount
}

// mayWait says whether there is no update yet for a request, or none that is urgent.
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

// fillUpdate adds to an update what only the primary can tell. A lease is granted
// together with the newest snapshot only.
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

// activatedSince says whether the newest set has taken effect since a request came:
// its effective time bounded the leases, and no longer does.
func (m *Machine) activatedSince(receivedAt time.Duration, wallNanos int64, now time.Duration) bool {
	effectiveAt := m.snapshot.NewestSet().EffectiveAt
	if effectiveAt == 0 || effectiveAt > wallNanos {
		return false
	}
	return receivedAt < now-time.Duration(wallNanos-effectiveAt)
}

// isUrgent says whether something that nodes must learn at once was written after a
// request's version: all except writer roles with synchronous replication that were
// never transferred.
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

// hasVersionOfTenure says whether a request's version is one that this tenure published, so
// that what was written after it is known.
func (m *Machine) hasVersionOfTenure(request UpdateRequest) bool {
	return m.firstVersion != (store.Version{}) && !request.Version.IsBefore(m.firstVersion)
}

func (m *Machine) snapshotFor(request UpdateRequest) *model.Snapshot {
	snapshot := m.snapshot
	if request.AcceptsDelta && m.hasVersionOfTenure(request) {
		snapshot = snapshot.DeltaSince(request.Version, m.state)
	}
	return &snapshot
}
