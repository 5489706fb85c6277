// Package distribution is the machine of the control primary beside the epoch
// machine: news and leases for the data plane, the evidence behind the
// writer roles, and the landing of binding sets. It has no clock, no links
// and no disk of its own.
package distribution

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/schedule"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Report is what one node sees of one instance. Of an instance of which the
// control primary has all by an earlier ask of the same run, it holds only the
// name, and the position where that turned.
type InstanceReport struct {
	Instance model.Instance
	// Announced, of instances that are not synced, and Answered are how long
	// ago.
	AnnouncementAge time.Duration
	ResponseAge     time.Duration
	// Placed is how long ago it was asked for the place that it then told.
	PositionAge time.Duration
	// Lagging is the longest that a commit here has waited for it.
	MaxCommitWait time.Duration
	// Refused counts the connections refused since it last answered, Overdue
	// is the age of the oldest statement that is out while nothing was heard
	// of it; both of synced instances only.
	RefusedConnections int
	OldestStatementAge time.Duration
}

// AskNews asks for news with the stamp held, and for a lease.
type UpdateRequest struct {
	Node           string
	Kind           string
	Version        store.Version
	Reports        []InstanceReport
	HighWatermarks map[string]model.Position
	// Shows is the sequence of the set in force at the node.
	ActiveSequence uint64
	// Via names the peer that passes the ask on.
	ForwardedBy string
	// Roll is the newest roll of instances held.
	ListVersion ListVersion
	// Birth names the run of the asking program; where it is given, Number
	// rises with each ask of that run, so that one that comes late is known.
	Incarnation   int64
	RequestNumber uint64
	// Known numbers the tenure that has, by earlier asks, what Reports and
	// Highs leave out; 0 says that they leave out nothing.
	BaselineTenure uint64
	// IsDelta says that the asker takes a Doc of what was written after Have.
	AcceptsDelta bool
	// IsBare says that the node holds no lease, nor will by an earlier grant. An
	// ask that goes two ways says nothing of it.
	WithoutLease bool
}

// Roll numbers the lists of instances that one tenure of the control primary
// gives out.
type ListVersion struct {
	Tenure string
	Number uint64
}

// Told brings reports beside an ask that is out.
type NodeReport struct {
	Node           string
	Reports        []InstanceReport
	HighWatermarks map[string]model.Position
	// Known is that of AskNews.
	BaselineTenure uint64
}

// News answers AskNews; Doc is nil where there is none newer, and only of what
// was written since where the asker takes that and has one of this tenure.
type Update struct {
	FromPrimary   bool
	Record        consensus.Record
	LeaseDuration time.Duration
	PrimaryTime   int64
	// Held is how long the ask waited for its answer.
	QueuedFor time.Duration
	Snapshot  *model.Snapshot
	// Tenure numbers the tenure that took in the ask. Where the ask left out
	// what that one has not, nothing of it was taken in, and there is no lease.
	Tenure uint64
	// Roll numbers Instances, which are those that turned since the asker's
	// roll, all of them where that is of another tenure. What is not among
	// them may still live; what has gone is marked so.
	ListVersion ListVersion
	Instances   []model.Instance
}

// Wait is the longest that an ask waits for news where the timing names none.
const DefaultPollTimeout = 250 * time.Millisecond

type pendingRequest struct {
	request    UpdateRequest
	token      uint64
	receivedAt time.Duration
	// run counts the tenures here when it came; isUnfit says that it left out
	// what this tenure has not.
	tenureCount uint64
	incomplete  bool
}

// Reply is an effect: the answer to the ask of a token.
type Reply struct {
	Token  uint64
	Update Update
}

// Write is an effect: puts to be decided against the state at their turn.
// Done must be called when the write has ended, however it ended.
type Write struct {
	Build func(*store.Table) []store.Put
	Done  func()
}

type receivedReport struct {
	report     InstanceReport
	receivedAt time.Duration
}

type acknowledgedRole struct {
	version         store.Version
	since           time.Duration
	primaryPosition model.Position
	hasPosition     bool
}

// Machine is the control primary's side.
type Machine struct {
	self     string
	timing   lease.Timing
	record   consensus.Record
	state    *store.Table
	snapshot model.Snapshot
	grantor  *lease.Grantor
	pending  []pendingRequest
	// reports are by instance and node, reportsOn names the instances of each
	// database among them, and told is when a node last brought any.
	reports             map[string]map[string]receivedReport
	instancesByDatabase map[string]map[string]bool
	lastReport          map[string]time.Duration
	// isWhole says of which nodes this tenure has all that they told.
	complete          map[string]bool
	highWatermarks    map[string]model.Position
	activeSequences   map[string]uint64
	highestActive     uint64
	acknowledgedRoles map[string]acknowledgedRole
	activating        bool
	collecting        bool
	tenure            string
	tenureNumber      uint64
	tenureCount       uint64
	registering       map[string]bool
	inheritedVersion  store.Version
	// from is the epoch in which this tenure began, and first the stamp of the
	// first write that it published; a node that has that has no other past.
	tenureEpoch  uint64
	firstVersion store.Version
	clockTrusted bool

	instances         map[string]listedInstance
	listNumber        uint64
	incarnations      map[string]nodeIncarnations
	lapseCount        uint64
	lastEvidence      map[string]time.Duration
	eventNumber       uint64
	coveredEvents     map[string]uint64
	coveringPositions map[string]model.Position
	phases            map[string]phaseProgress
}

// New makes the machine with the record and state held on disk.
func New(self string, timing lease.Timing, record consensus.Record, state *store.Table, now time.Duration) *Machine {
	m := &Machine{self: self, timing: timing, record: record, tenureEpoch: record.Epoch + 1}
	m.Publish(state)
	m.reset(now)
	return m
}

func (m *Machine) reset(now time.Duration) {
	m.grantor = lease.NewGrantor(m.timing, m.registeredNodes(), now)
	m.registering = map[string]bool{}
	m.tenure, m.tenureNumber = "", 0
	m.tenureCount++
	m.reports, m.instancesByDatabase = map[string]map[string]receivedReport{}, map[string]map[string]bool{}
	m.lastReport, m.complete = map[string]time.Duration{}, map[string]bool{}
	m.highWatermarks = map[string]model.Position{}
	m.activeSequences, m.highestActive = map[string]uint64{}, 0
	m.acknowledgedRoles = map[string]acknowledgedRole{}
	m.activating, m.collecting = false, false
	m.inheritedVersion = m.state.Version
	m.resetSyncReplication()
}

func (m *Machine) registeredNodes() []string {
	var names []string
	for _, key := range m.state.Keys(model.PrefixNode) {
		names = append(names, key[len(model.PrefixNode):])
	}
	return names
}

func (m *Machine) isRegistered(node string) bool {
	_, found := m.state.Records[model.PrefixNode+node]
	return found
}

// Enroll gives the write that puts on record the nodes that ask for a lease
// and are not, and strikes those long without one.
func (m *Machine) RegisterNodes(wall int64, now time.Duration) (Write, bool) {
	var puts []store.Put
	var names []string
	for _, state := range m.pending {
		node := state.request.Node
		if state.request.Kind == model.KindProxy && !m.isRegistered(node) && !m.registering[node] {
			m.registering[node] = true
			names = append(names, node)
			puts = append(puts, store.Put{Key: model.PrefixNode + node, Data: store.EncodePlain(wall)})
		}
	}
	for _, node := range m.grantor.LapsedNodes(now, nodeRetention) {
		if m.isRegistered(node) && !m.registering[node] {
			m.registering[node] = true
			names = append(names, node)
			puts = append(puts, store.Put{Key: model.PrefixNode + node, Deleted: true})
		}
	}
	if len(puts) == 0 {
		return Write{}, false
	}
	return Write{
		Build: func(*store.Table) []store.Put { return puts },
		Done: func() {
			for _, node := range names {
				delete(m.registering, node)
				if !m.isRegistered(node) {
					m.removeNode(node)
					delete(m.incarnations, node)
				}
			}
		},
	}, true
}

const nodeRetention = 2 * time.Minute

func (m *Machine) removeNode(node string) {
	m.grantor.Remove(node)
	delete(m.lastReport, node)
	delete(m.complete, node)
	delete(m.activeSequences, node)
	for _, by := range m.reports {
		delete(by, node)
	}
}

// Turn takes an epoch record; it gives true when this machine has become
// primary, with nothing known of what an earlier one gave out.
func (m *Machine) EpochChanged(record consensus.Record, state *store.Table, now time.Duration) bool {
	changed := record.Primary == m.self && m.record.Primary != m.self
	m.record = record
	if changed {
		m.tenureEpoch, m.firstVersion = record.Epoch, store.Version{}
	}
	m.Publish(state)
	if changed {
		m.reset(now)
	}
	return changed
}

// Trust says whether the primary's clock may be relied on. Where it may not,
// how long ago an earlier primary took a pending set is not known.
func (m *Machine) SetClockTrusted(trusted bool) { m.clockTrusted = trusted }

// Wrote takes the state that is safe to publish.
func (m *Machine) Publish(state *store.Table) {
	previous := m.snapshot
	m.snapshot, _ = model.RefreshSnapshot(state, previous, m.state)
	m.state = state
	if m.firstVersion == (store.Version{}) && state.Version.Epoch >= m.tenureEpoch {
		m.firstVersion = state.Version
	}
	if m.snapshot.Version.IsBefore(m.firstVersion) {
		m.snapshot.Version = m.firstVersion
	}
	if previous.HasPendingSet() && !m.snapshot.HasPendingSet() && m.grantor != nil {
		m.grantor.Unfreeze()
	}
	m.noteTermChanges(previous)
}

// Record gives the epoch record.
func (m *Machine) Record() consensus.Record { return m.record }

// Table gives the published state, to be read only.
func (m *Machine) State() *store.Table { return m.state }

// Doc gives the data plane's part of it.
func (m *Machine) Snapshot() model.Snapshot { return m.snapshot }

// Held lists the nodes that may hold a lease, with what each has taken up.
func (m *Machine) LeasedNodes(now time.Duration) map[string]store.Version {
	return m.grantor.LeasedNodes(now)
}

// Shows gives the sequence in force at a node, as it last said.
func (m *Machine) ActiveSequence(node string) uint64 { return m.activeSequences[node] }

// Ask takes an ask; it is answered by Flush.
func (m *Machine) HandleRequest(request UpdateRequest, token uint64, now time.Duration) {
	incomplete := request.BaselineTenure != 0 && (request.BaselineTenure != m.tenureNumber || !m.complete[request.Node])
	if request.Kind == model.KindProxy && !incomplete {
		m.countLapses(now)
		outdated := !m.noteRequest(request)
		m.grantor.Acknowledge(request.Node, request.Version, now)
		if request.WithoutLease && !outdated && request.Incarnation != 0 {
			m.grantor.Release(request.Node, now)
		}
		if !outdated {
			m.complete[request.Node] = true
			m.storeReports(request.Node, request.Reports, true, now)
		}
		m.raiseWatermarks(request.HighWatermarks)
		m.activeSequences[request.Node] = request.ActiveSequence
		m.highestActive = max(m.highestActive, request.ActiveSequence)
	}
	m.pending = append(m.pending, pendingRequest{request: request, token: token, receivedAt: now, tenureCount: m.tenureCount, incomplete: incomplete})
}

// Gather takes in what a node sees, told beside its asks.
func (m *Machine) HandleReport(told NodeReport, now time.Duration) {
	m.storeReports(told.Node, told.Reports, false, now)
	m.raiseWatermarks(told.HighWatermarks)
}

func (m *Machine) storeReports(node string, reports []InstanceReport, fromRequest bool, now time.Duration) {
	for _, report := range reports {
		base, found := m.reports[report.Instance.Name][node]
		abbreviated := report.Instance.Database == ""
		if abbreviated && !found {
			continue
		}
		if abbreviated || (found && !fromRequest && report.Instance.SyncReplication) {
			report.Instance = mergeInstance(base.report.Instance, report.Instance)
		}
		m.storeReport(node, report, now)
		m.noteEvidence(report, now)
	}
}

// with gives the instance that a node had told of, at the place that it tells
// now. What comes beside the asks may come late, so the rest stays as the
// node's asks have it, which later ones build on.
func mergeInstance(previous, brief model.Instance) model.Instance {
	if brief.Position != (model.Position{}) {
		previous.Position = brief.Position
	}
	return previous
}

func (m *Machine) raiseWatermarks(watermarks map[string]model.Position) {
	for name, high := range watermarks {
		m.highWatermarks[name] = m.highWatermarks[name].Max(high)
	}
}

func (m *Machine) storeReport(node string, report InstanceReport, now time.Duration) {
	name, database := report.Instance.Name, report.Instance.Database
	if m.reports[name] == nil {
		m.reports[name] = map[string]receivedReport{}
	}
	if m.instancesByDatabase[database] == nil {
		m.instancesByDatabase[database] = map[string]bool{}
	}
	m.reports[name][node] = receivedReport{report: report, receivedAt: now}
	m.instancesByDatabase[database][name] = true
	m.lastReport[node] = now
}

func (m *Machine) maxLease(wall int64) time.Duration {
	if len(m.overdueSets(wall)) > 0 {
		return 0
	}
	room := m.timing.LeaseDuration
	for _, set := range m.snapshot.Sets {
		if set.EffectiveAt > wall && set.ScheduledBy != m.tenure && !m.clockTrusted {
			return 0
		}
		if set.EffectiveAt == 0 && !m.clockTrusted && !m.inheritedVersion.IsBefore(m.state.Records[BindingSetKey(set.Sequence)].Version) {
			return 0
		}
		if set.EffectiveAt == 0 || set.EffectiveAt > wall {
			room = min(room, max(time.Duration(max(set.AcceptedAt, set.NotBefore)-wall)+m.timing.PreviousSetLimit(), 0))
		}
		if set.EffectiveAt == 0 {
			room = min(room, max(time.Duration(set.AcceptedAt-wall)+m.timing.PendingSetLimit(), 0))
		}
	}
	return room
}

// Flush answers the asks for which there is news, and those whose wait is
// over. A lease goes only with the newest state.
func (m *Machine) Flush(isPrimary bool, wall int64, now time.Duration) []Reply {
	var replies []Reply
	var kept []pendingRequest
	for _, state := range m.pending {
		if isPrimary && (state.incomplete || state.tenureCount != m.tenureCount) {
			m.ensureTenure(wall)
			replies = append(replies, Reply{state.token, Update{FromPrimary: true, Record: m.record, PrimaryTime: wall, QueuedFor: now - state.receivedAt, Tenure: m.tenureNumber}})
			continue
		}
		delayElapsed := now >= state.receivedAt+settleDelay
		hasSnapshot := state.request.Version.IsBefore(m.snapshot.Version) && (delayElapsed || !m.mayDelay(state.request))
		hasInstances := isPrimary && m.hasInstanceUpdate(state.request, wall) && (delayElapsed || state.request.ListVersion.Tenure != m.tenure)
		timedOut := m.activatedSince(state.receivedAt, wall, now) || now >= state.receivedAt+m.pollTimeout()
		if !hasSnapshot && !hasInstances && !timedOut && isPrimary {
			kept = append(kept, state)
			continue
		}
		update := Update{FromPrimary: isPrimary, Record: m.record, PrimaryTime: wall, QueuedFor: now - state.receivedAt}
		if isPrimary {
			m.ensureTenure(wall)
			update.Tenure = m.tenureNumber
			if state.request.Version.IsBefore(m.snapshot.Version) {
				update.Snapshot = m.snapshotFor(state.request)
			}
			if m.hasInstanceUpdate(state.request, wall) {
				update.ListVersion, update.Instances = ListVersion{Tenure: m.ensureTenure(wall), Number: m.listNumber}, m.instancesSince(state.request.ListVersion)
			}
			if state.request.Kind == model.KindProxy && m.isRegistered(state.request.Node) && !m.registering[state.request.Node] {
				update.LeaseDuration = m.grantor.Grant(state.request.Node, m.maxLease(wall), now)
			}
		}
		replies = append(replies, Reply{state.token, update})
	}
	m.pending = kept
	return replies
}

// calm is how long an ask waits before news that nothing hangs on: what comes
// one by one then goes together.
const settleDelay = 100 * time.Millisecond

// isCalm says whether all that was written since an ask's stamp is of writer
// roles of synced databases that never moved.
func (m *Machine) mayDelay(request UpdateRequest) bool {
	if m.firstVersion == (store.Version{}) || request.Version.IsBefore(m.firstVersion) {
		return false
	}
	writtenSince := func(key string) bool { return request.Version.IsBefore(m.state.Records[key].Version) }
	if slices.ContainsFunc(m.snapshot.Sets, func(set model.BindingSet) bool { return writtenSince(model.BindingSetKey(set.Sequence)) }) {
		return false
	}
	for name, writer := range m.snapshot.Writers {
		steady := writer.SyncReplication && writer.Phase == model.PhaseOpen && writer.Promoter == ""
		if !steady && writtenSince(model.PrefixWriterRole+name) {
			return false
		}
	}
	return true
}

func (m *Machine) snapshotFor(request UpdateRequest) *model.Snapshot {
	snapshot := m.snapshot
	if request.AcceptsDelta && m.firstVersion != (store.Version{}) && !request.Version.IsBefore(m.firstVersion) {
		snapshot = snapshot.DeltaSince(request.Version, m.state)
	}
	return &snapshot
}

// Heard is an instance as this machine itself heard it.
type Observation struct {
	Instance   model.Instance
	ObservedAt time.Duration
}

// Databases names the databases that are known.
func (m *Machine) Databases(observations []Observation) []string {
	names := map[string]bool{}
	for _, one := range observations {
		names[one.Instance.Database] = true
	}
	for name := range m.snapshot.Writers {
		names[name] = true
	}
	var list []string
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Case puts together what a database's duty decides on.
func (m *Machine) AsyncFailoverEvidence(database string, observations []Observation, wall int64, now time.Duration) asyncrepl.Evidence {
	writer, exists := m.snapshot.Writers[database]
	writer = model.CloneWriterRole(writer)
	writer.HighWatermark = writer.HighWatermark.Max(m.highWatermarks[database])
	at := asyncrepl.Evidence{Database: database, Writer: writer, Known: exists, WallNanos: wall, GatheredFor: now - m.grantor.StartedAt()}
	for name, told := range m.lastReport {
		if now-told < time.Second && m.grantor.HasLease(name, now) {
			at.ReportingNodes++
		}
	}
	for _, one := range observations {
		if one.Instance.Database == database {
			at.Observations = append(at.Observations, m.asyncObservation(one, now))
		}
	}
	m.markAcknowledged(&at, now)
	return at
}

const neverObserved = time.Hour

func (m *Machine) asyncObservation(observations Observation, now time.Duration) asyncrepl.Observation {
	observation := asyncrepl.Observation{Instance: observations.Instance, ContactAge: now - observations.ObservedAt, PositionAge: neverObserved}
	told := observation.ContactAge
	reports := m.reports[observations.Instance.Name]
	for _, node := range slices.Sorted(maps.Keys(reports)) {
		one := reports[node]
		if now-one.receivedAt > time.Second || !m.grantor.HasLease(node, now) {
			continue
		}
		observation.ReportingNodes++
		nearest := min(one.report.AnnouncementAge, one.report.ResponseAge) + now - one.receivedAt
		observation.ContactAge = min(observation.ContactAge, nearest)
		age := now - one.receivedAt
		if since := age + min(one.report.AnnouncementAge, max(one.report.PositionAge, one.report.ResponseAge)); since < told {
			told, observation.PositionAge, observation.Instance = since, one.report.PositionAge+age, one.report.Instance
		}
		if nearest > asyncrepl.DefaultTiming().SilenceTimeout {
			observation.SilentNodes++
		}
		observation.CommitWait = max(observation.CommitWait, one.report.MaxCommitWait)
	}
	return observation
}

func (m *Machine) markAcknowledged(at *asyncrepl.Evidence, now time.Duration) {
	record, found := m.state.Records[model.PrefixWriterRole+at.Database]
	if !found || !m.grantor.AllAcknowledged(record.Version, now) {
		delete(m.acknowledgedRoles, at.Database)
		return
	}
	known, exists := m.acknowledgedRoles[at.Database]
	if !exists || known.version != record.Version {
		known = acknowledgedRole{version: record.Version, since: now}
	}
	if !known.hasPosition {
		for _, observation := range at.Observations {
			if observation.Instance.Name == at.Writer.Primary && observation.ContactAge < now-known.since {
				known.primaryPosition, known.hasPosition = observation.Instance.Position, true
			}
		}
	}
	m.acknowledgedRoles[at.Database] = known
	at.Settled, at.SettledFor = true, now-known.since
	at.PrimaryPosition, at.HasPrimaryPosition = known.primaryPosition, known.hasPosition
}

// RecordCase asks the primary to write a writer record in place of the one
// the case showed.
type WriterRoleChange struct {
	Previous       model.WriterRole
	PreviousExists bool
	Next           model.WriterRole
	Action         string
	Evidence       string
	RequestedBy    string
}

// Record gives the puts of a RecordCase, or none where the record has
// changed since the case was shown.
func WriterRolePuts(state *store.Table, request WriterRoleChange, wall int64) []store.Put {
	key := model.PrefixWriterRole + request.Next.Database
	now, exists := store.Get(state, key, model.WriterRoleFrom)
	unchanged := exists == request.PreviousExists && now.Term == request.Previous.Term && now.Phase == request.Previous.Phase &&
		now.Promoting == request.Previous.Promoting && now.PromoteCalls == request.Previous.PromoteCalls && now.FencingToken == request.Previous.FencingToken &&
		(!now.SyncReplication || now.LastTransitionAt == request.Previous.LastTransitionAt) &&
		sameMembers(now.RequiredReplicas, request.Previous.RequiredReplicas) && sameMembers(now.Candidates, request.Previous.Candidates)
	if !unchanged {
		return nil
	}
	puts := []store.Put{{Key: key, Data: store.Encode(request.Next)}}
	return append(puts, AuditPuts(state, wall, "database "+request.Next.Database, request.Action, request.Evidence+" (duty held by "+request.RequestedBy+")")...)
}

func sameMembers(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for name, incarnation := range a {
		if b[name] != incarnation {
			return false
		}
	}
	return true
}

const maxAuditEntries = 400

// EntryPuts adds a line to the fleet's own account of what it did.
func AuditPuts(state *store.Table, wall int64, subject, what, evidence string) []store.Put {
	keys := state.Keys(model.PrefixAuditEntry)
	order := uint64(1)
	if len(keys) > 0 {
		if last, found := store.Get(state, keys[len(keys)-1], model.AuditEntryFrom); found {
			order = last.Sequence + 1
		}
	}
	puts := []store.Put{{
		Key:  fmt.Sprintf("%s%012d", model.PrefixAuditEntry, order),
		Data: store.Encode(model.AuditEntry{Sequence: order, At: wall, Subject: subject, Action: what, Evidence: evidence}),
	}}
	for at := 0; at+maxAuditEntries < len(keys); at++ {
		puts = append(puts, store.Put{Key: keys[at], Deleted: true})
	}
	return puts
}

// SetKey is the key of a binding set.
func BindingSetKey(sequence uint64) string { return model.BindingSetKey(sequence) }

// Land gives the next write that brings a booked or pending set on its way,
// if one is due: a booking is taken a little before its moment, and a set
// that every leased node has taken up gets its common moment.
func (m *Machine) NextActivation(wall int64, now time.Duration) (Write, bool) {
	if m.activating {
		return Write{}, false
	}
	m.ensureTenure(wall)
	done := func() {
		m.activating = false
		m.grantor.Unfreeze()
	}
	if _, due := nextScheduledChange(m.state, wall); due {
		m.activating = true
		return Write{Build: func(state *store.Table) []store.Put { return acceptScheduledChange(state, wall) }, Done: done}, true
	}
	if moved := m.overdueSets(wall); len(moved) > 0 && m.mayAdvance(moved, now) {
		m.activating = true
		return Write{Build: func(state *store.Table) []store.Put {
			var puts []store.Put
			for _, set := range moved {
				if _, found := state.Records[BindingSetKey(set.Sequence)]; found {
					puts = append(puts, store.Put{Key: BindingSetKey(set.Sequence), Data: store.Encode(set)})
				}
			}
			return puts
		}, Done: done}, true
	}
	if !m.snapshot.HasPendingSet() || !m.grantor.AllAcknowledged(m.state.Records[BindingSetKey(m.snapshot.NewestSet().Sequence)].Version, now) {
		return Write{}, false
	}
	earliest := m.grantor.LatestExpiry(now) + m.timing.ActivationMargin
	m.grantor.Freeze(earliest)
	if firstSet := m.snapshot.Sets[0].EffectiveAt == 0; firstSet {
		earliest = now + m.timing.ActivationMargin
	}
	m.activating = true
	effectiveAt := wall + int64(earliest-now)
	seen, by := m.snapshot.Version, m.tenure
	return Write{Build: func(state *store.Table) []store.Put { return assignEffectiveTimes(state, seen, effectiveAt, wall, by) }, Done: done}, true
}

func (m *Machine) overdueSets(wall int64) []model.BindingSet {
	if !slices.ContainsFunc(m.snapshot.Sets, func(set model.BindingSet) bool { return set.EffectiveAt > wall }) {
		return nil
	}
	var moved []model.BindingSet
	for _, set := range m.snapshot.Sets {
		ahead := set.EffectiveAt > wall
		stale := set.ScheduledBy != m.tenure && wall >= set.NotBefore && !m.trustsEffectiveTime(set, wall)
		if ahead && (set.Sequence <= m.highestActive || stale) {
			set.EffectiveAt = 1
			moved = append(moved, set)
		}
	}
	return moved
}

// mayMove says whether moments may be brought forward: where a node shows each set
// already, or once no lease of an earlier tenure is left, by which a node that has not
// heard of it would serve under the set before until the moment that it was told.
func (m *Machine) mayAdvance(moved []model.BindingSet, now time.Duration) bool {
	active := !slices.ContainsFunc(moved, func(set model.BindingSet) bool { return set.Sequence > m.highestActive })
	return active || now >= m.grantor.StartedAt()+m.timing.LeaseDuration
}

// isHonest says whether a moment set by an earlier tenure may lie ahead by the
// clock: one is set that far ahead, and all who hold a lease past it know it.
func (m *Machine) trustsEffectiveTime(set model.BindingSet, wall int64) bool {
	return m.clockTrusted && time.Duration(set.EffectiveAt-wall) < m.timing.LeaseDuration+m.timing.ActivationMargin
}

func nextScheduledChange(state *store.Table, wall int64) (model.ScheduledChange, bool) {
	var changes []model.ScheduledChange
	for _, key := range state.Keys(model.PrefixScheduledChange) {
		if change, found := store.Get(state, key, model.ScheduledChangeFrom); found {
			changes = append(changes, change)
		}
	}
	return schedule.NextDue(changes, wall)
}

func acceptScheduledChange(state *store.Table, wall int64) []store.Put {
	change, due := nextScheduledChange(state, wall)
	if !due {
		return nil
	}
	key := model.PrefixScheduledChange + change.ID
	newest := model.ReadSnapshot(state).NewestSet()
	set := successor(newest, model.BindingSet{Bindings: change.Bindings, NotBefore: change.EffectiveAt, AcceptedAt: wall, Source: "booking " + change.ID})
	puts := []store.Put{{Key: key, Deleted: true}, {Key: BindingSetKey(set.Sequence), Data: store.Encode(set)}}
	return append(puts, AuditPuts(state, wall, "bindings", fmt.Sprintf("booked change %s taken as sequence %d", change.ID, set.Sequence), "its moment is near")...)
}

func assignEffectiveTimes(state *store.Table, seen store.Version, effectiveAt, wall int64, by string) []store.Put {
	snapshot := model.ReadSnapshot(state)
	var puts []store.Put
	last := uint64(0)
	for _, set := range schedule.AssignEffectiveTimes(snapshot.Sets, effectiveAt) {
		if version := state.Records[BindingSetKey(set.Sequence)].Version; !seen.IsBefore(version) {
			set.ScheduledBy = by
			puts = append(puts, store.Put{Key: BindingSetKey(set.Sequence), Data: store.Encode(set)})
			last = set.Sequence
		}
	}
	if len(puts) == 0 {
		return nil
	}
	what := fmt.Sprintf("sequence %d takes effect at %d", last, effectiveAt/int64(time.Millisecond))
	return append(puts, AuditPuts(state, wall, "bindings", what, "every leased node has taken it up")...)
}

// Tidy gives the write that drops sets which every leased node has left
// behind, if there are any.
func (m *Machine) NextCollection(wall int64, now time.Duration) (Write, bool) {
	lowest := m.snapshot.ActiveSet(wall).Sequence
	due := !m.collecting && now > m.grantor.StartedAt()+m.timing.LeaseDuration
	if !due || len(m.snapshot.Sets) == 0 || m.snapshot.Sets[0].Sequence >= lowest {
		return Write{}, false
	}
	for node := range m.grantor.LeasedNodes(now) {
		lowest = min(lowest, m.activeSequences[node])
	}
	if m.snapshot.Sets[0].Sequence >= lowest {
		return Write{}, false
	}
	m.collecting = true
	return Write{Build: func(state *store.Table) []store.Put {
		var puts []store.Put
		for _, set := range model.ReadSnapshot(state).Sets {
			if set.Sequence < lowest {
				puts = append(puts, store.Put{Key: BindingSetKey(set.Sequence), Deleted: true})
			}
		}
		raws := state.Keys(model.PrefixManifest)
		for at, key := range raws {
			if at+1 < len(raws) && key < ManifestKey(lowest) {
				puts = append(puts, store.Put{Key: key, Deleted: true})
			}
		}
		return puts
	}, Done: func() { m.collecting = false }}, true
}
