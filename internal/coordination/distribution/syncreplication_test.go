package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func instance(name, role string) model.Instance {
	return model.Instance{Name: name, Database: "db", Address: name + ":1", Role: role, SyncReplication: true}
}

func (h *harness) observeAll() []Observation {
	return []Observation{{Instance: instance("a", model.RolePrimary), ObservedAt: h.now}, {Instance: instance("b", model.RoleReplica), ObservedAt: h.now}}
}

func (h *harness) openTerm(term uint64) {
	h.write(Write{Build: func(*store.Table) []store.Put {
		writer := model.WriterRole{Database: "db", Term: term, Primary: "a", Phase: model.PhaseOpen, SyncReplication: true}
		return []store.Put{{Key: model.PrefixWriterRole + "db", Data: store.Encode(writer)}}
	}, Done: func() {}})
}

func (h *harness) evidence() syncrepl.Evidence {
	return h.SyncFailoverEvidence("db", h.observeAll(), h.wall, h.now)
}

// roster tells the machine of instances that were just heard.
func (h *harness) observe(instances ...model.Instance) bool {
	var list []Observation
	for _, one := range instances {
		list = append(list, Observation{Instance: one, ObservedAt: h.now})
	}
	return h.UpdateInstances(list)
}

func TestInstanceList(t *testing.T) {
	Convey("A new tenure lists an instance as it was heard a moment ago at most, or since: what an earlier one told the nodes may be newer", t, func() {
		h := newHarness(1, store.New())
		h.observe(instance("a", model.RolePrimary), instance("b", model.RoleReplica))
		old := []Observation{{Instance: instance("a", model.RolePrimary), ObservedAt: h.now}, {Instance: instance("b", model.RoleReplica), ObservedAt: h.now}}
		h.EpochChanged(consensus.Record{Epoch: 2, Primary: "c2"}, h.stored, h.now)
		h.advance(maxObservationAge + time.Millisecond)
		h.EpochChanged(consensus.Record{Epoch: 3, Primary: "c1"}, h.stored, h.now)
		So(h.UpdateInstances(old), ShouldBeFalse)
		old[0].ObservedAt = h.now - maxObservationAge
		So(h.UpdateInstances(old), ShouldBeTrue)
		So(len(h.instances.entries), ShouldEqual, 1)
		So(h.instances.entries["a"].instance, ShouldResemble, listEntry(old[0].Instance))
		h.advance(time.Minute)
		leaving := instance("b", model.RoleReplica)
		leaving.Leaving = true
		So(h.UpdateInstances([]Observation{old[0], {Instance: leaving, ObservedAt: h.now}}), ShouldBeTrue)
		So(len(h.instances.entries), ShouldEqual, 2)
		So(h.instances.entries["b"].instance.Leaving, ShouldBeTrue)
	})
	Convey("The roll's number rises when an instance appears or changes, not with repeats or positions, and is of synced instances only", t, func() {
		h := newHarness(1, store.New())
		first := instance("a", model.RolePrimary)
		So(h.observe(first), ShouldBeTrue)
		again := first
		again.AnnouncementNumber, again.Position, again.Term = 7, model.Position{Term: 3, Index: 9}, 3
		So(h.observe(again), ShouldBeFalse)
		for _, change := range []func(*model.Instance){
			func(i *model.Instance) { i.Address = "x:1" }, func(i *model.Instance) { i.Zone = "z" }, func(i *model.Instance) { i.Role = model.RoleReplica },
			func(i *model.Instance) { i.Leaving = true }, func(i *model.Instance) { i.Stopped = true }, func(i *model.Instance) { i.Connections = 9 },
			func(i *model.Instance) { i.Slots = 9 },
		} {
			change(&again)
			So(h.observe(again), ShouldBeTrue)
		}
		So(h.observe(again, instance("b", model.RoleReplica)), ShouldBeTrue)
		So(h.observe(again, instance("b", model.RoleReplica), model.Instance{Name: "plain", Database: "x"}), ShouldBeFalse)
	})
	Convey("An ask with a roll of another tenure is answered at once, one with an older roll once it has waited a little; one that has it waits", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.observe(instance("a", model.RolePrimary))
		asking := UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: h.stored.Version}
		h.HandleRequest(asking, 1, h.now)
		replies := h.Flush(true, h.wall, h.now)
		So(len(replies), ShouldEqual, 1)
		So(replies[0].Update.ListVersion.Number, ShouldEqual, 1)
		So(len(replies[0].Update.Instances), ShouldEqual, 1)
		asking.ListVersion = replies[0].Update.ListVersion
		h.HandleRequest(asking, 2, h.now)
		So(h.Flush(true, h.wall, h.now), ShouldBeEmpty)
		h.observe(instance("a", model.RoleReplica))
		So(h.Flush(true, h.wall, h.now), ShouldBeEmpty)
		h.advance(settleDelay)
		So(h.Flush(true, h.wall, h.now)[0].Update.Instances[0].Role, ShouldEqual, model.RoleReplica)
		asking.ListVersion = ListVersion{Tenure: "c9@1", Number: 2}
		h.HandleRequest(asking, 3, h.now)
		So(len(h.Flush(true, h.wall, h.now)), ShouldEqual, 1)
	})
	Convey("An ask with a roll of this tenure is told only what turned since", t, func() {
		h := newHarness(1, store.New())
		told := func(roll ListVersion) (ListVersion, []string) {
			h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: h.stored.Version, ListVersion: roll}, 1, h.now)
			h.advance(settleDelay)
			update := h.Flush(true, h.wall, h.now)[0].Update
			var names []string
			for _, one := range update.Instances {
				names = append(names, one.Name)
			}
			return update.ListVersion, names
		}
		first, second := instance("a", model.RolePrimary), instance("b", model.RoleReplica)
		h.observe(second, first)
		early, names := told(ListVersion{})
		So(names, ShouldResemble, []string{"a", "b"})
		h.observe(first, second, instance("c", model.RoleReplica))
		second.Leaving = true
		So(h.RegisterInstance(second), ShouldBeTrue)
		So(h.RegisterInstance(second), ShouldBeFalse)
		_, names = told(early)
		So(names, ShouldResemble, []string{"b", "c"})
		_, names = told(ListVersion{Tenure: "c9@1", Number: early.Number})
		So(names, ShouldResemble, []string{"a", "b", "c"})
		h.observe(first, second)
		h.RegisterInstance(instance("d", model.RoleReplica))
		_, names = told(ListVersion{})
		SoMsg("what the control machine has forgotten is on no later roll", names, ShouldResemble, []string{"a", "b", "d"})
	})
	Convey("An ask waits as long as the timing says", t, func() {
		h := newHarness(1, store.New())
		h.Machine = New("c1", func() lease.Timing {
			one := lease.DefaultTiming()
			one.PollTimeout = 500 * time.Millisecond
			return one
		}(), h.Record(), h.stored, h.now)
		h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy}, 1, h.now)
		h.advance(400 * time.Millisecond)
		So(h.Flush(true, h.wall, h.now), ShouldBeEmpty)
		h.advance(100 * time.Millisecond)
		So(len(h.Flush(true, h.wall, h.now)), ShouldEqual, 1)
	})
}

func TestCompleteEvidence(t *testing.T) {
	request := func(h *harness, node string, incarnation int64, high uint64) {
		h.HandleRequest(UpdateRequest{Node: node, Kind: model.KindProxy, Version: h.stored.Version, Incarnation: incarnation, HighWatermarks: map[string]model.Position{"db": {Term: 3, Index: high}}}, 1, h.now)
		h.runWrites()
		h.advance(DefaultPollTimeout)
		h.Flush(true, h.wall, h.now)
	}
	covered := func(h *harness) {
		at := h.evidence()
		h.ConfirmCoverage(syncrepl.ReportBound{Database: "db", Tenure: at.Tenure, GapSequence: at.GapSequence, Position: model.Position{Term: 3, Index: 50}})
	}
	started := func() *harness {
		h := newHarness(1, store.New())
		h.openTerm(3)
		request(h, "d1", 7, 40)
		request(h, "d1", 7, 40)
		return h
	}
	Convey("A new tenure knows nothing of what was acknowledged before, until a position of the primary covers it", t, func() {
		h := started()
		So(h.evidence().IsBoundComplete(), ShouldBeFalse)
		covered(h)
		at := h.evidence()
		So(at.IsBoundComplete(), ShouldBeTrue)
		So(at.CommitBound, ShouldResemble, model.Position{Term: 3, Index: 50})
		So(at.Writer.HighWatermark, ShouldResemble, model.Position{Term: 3, Index: 40})
		request(h, "d1", 7, 60)
		So(h.evidence().CommitBound, ShouldResemble, model.Position{Term: 3, Index: 60})
	})
	Convey("A mark of another tenure, or of an event not shown, covers nothing", t, func() {
		h := started()
		h.ConfirmCoverage(syncrepl.ReportBound{Database: "db", Tenure: "c9@1", GapSequence: 1})
		h.ConfirmCoverage(syncrepl.ReportBound{Database: "db", Tenure: h.evidence().Tenure, GapSequence: 99})
		So(h.evidence().IsBoundComplete(), ShouldBeFalse)
	})
	Convey("A node born again, or one whose lease lapsed, breaks it; a new term makes it whole", t, func() {
		h := started()
		covered(h)
		request(h, "d1", 8, 0)
		So(h.evidence().IsBoundComplete(), ShouldBeFalse)
		covered(h)
		So(h.evidence().IsBoundComplete(), ShouldBeTrue)
		h.advance(3 * time.Second)
		So(h.evidence().IsBoundComplete(), ShouldBeFalse)
		h.openTerm(4)
		So(h.evidence().IsBoundComplete(), ShouldBeTrue)
	})
	Convey("A lapse between two asks of the same node is noticed too", t, func() {
		h := started()
		covered(h)
		h.advance(3 * time.Second)
		request(h, "d1", 7, 40)
		So(h.evidence().IsBoundComplete(), ShouldBeFalse)
	})
}

func TestSyncObservations(t *testing.T) {
	tell := func(h *harness, node string, report InstanceReport) {
		report.Instance = instance("a", model.RolePrimary)
		h.HandleRequest(UpdateRequest{Node: node, Kind: model.KindProxy, Version: h.stored.Version, Reports: []InstanceReport{report}}, 1, h.now)
		h.runWrites()
		h.Flush(true, h.wall, h.now)
	}
	Convey("Leased nodes with evidence of the last second are counted, by what they saw", t, func() {
		h := newHarness(1, store.New())
		h.openTerm(3)
		for range 2 {
			tell(h, "d1", InstanceReport{ResponseAge: time.Hour, RefusedConnections: 2})
			tell(h, "d2", InstanceReport{ResponseAge: 1500 * time.Millisecond, OldestStatementAge: 1400 * time.Millisecond})
			tell(h, "d3", InstanceReport{ResponseAge: 400 * time.Millisecond})
			tell(h, "d4", InstanceReport{ResponseAge: time.Hour})
			h.advance(DefaultPollTimeout)
			h.Flush(true, h.wall, h.now)
		}
		observation := h.evidence().Observations[0]
		So(observation.ReportingNodes, ShouldEqual, 3)
		So(observation.RefusedNodes, ShouldEqual, 1)
		So(observation.OverdueNodes, ShouldEqual, 1)
		So(observation.AnswerAge, ShouldEqual, 400*time.Millisecond+DefaultPollTimeout)
		h.advance(1100 * time.Millisecond)
		So(h.evidence().Observations[0].ReportingNodes, ShouldEqual, 0)
		So(h.evidence().Observations[0].UnobservedFor, ShouldEqual, 1100*time.Millisecond+DefaultPollTimeout)
	})
	Convey("What a node without a lease saw is no evidence", t, func() {
		h := newHarness(1, store.New())
		h.openTerm(3)
		h.HandleReport(NodeReport{Node: "d9", Reports: []InstanceReport{{Instance: instance("a", model.RolePrimary), RefusedConnections: 5, ResponseAge: time.Hour}}}, h.now)
		So(h.evidence().Observations[0].ReportingNodes, ShouldEqual, 0)
	})
	Convey("Instances that only nodes know of are there too", t, func() {
		h := newHarness(1, store.New())
		h.openTerm(3)
		tell(h, "d1", InstanceReport{ResponseAge: 100 * time.Millisecond})
		at := h.SyncFailoverEvidence("db", nil, h.wall, h.now)
		So(len(at.Observations), ShouldEqual, 1)
		So(at.Observations[0].Instance.Address, ShouldEqual, "a:1")
	})
	Convey("A phase is settled once every leased node has taken it up, and a reason written meanwhile does not unsettle it", t, func() {
		h := newHarness(1, store.New())
		h.openTerm(3)
		h.request("d1", store.Version{})
		h.request("d1", h.stored.Version)
		close := func(why string) {
			h.write(Write{Build: func(*store.Table) []store.Put {
				writer := model.WriterRole{Database: "db", Term: 3, Primary: "a", Phase: model.PhaseClosing, SyncReplication: true, LastTransitionAt: 5, Reason: why}
				return []store.Put{{Key: model.PrefixWriterRole + "db", Data: store.Encode(writer)}}
			}, Done: func() {}})
		}
		close("one")
		So(h.evidence().Settled, ShouldBeFalse)
		h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: h.stored.Version}, 1, h.now)
		So(h.evidence().Settled, ShouldBeTrue)
		close("two")
		h.advance(100 * time.Millisecond)
		at := h.evidence()
		So(at.Settled, ShouldBeTrue)
		So(at.SettledFor, ShouldEqual, 100*time.Millisecond)
	})
}

func TestManifests(t *testing.T) {
	put := func(h *harness, version uint64, raw string) bool {
		return h.write(Write{Build: func(state *store.Table) []store.Put {
			set := model.BindingSet{Bindings: []model.Binding{{Name: "b", Database: "db"}}, Databases: []model.Database{{Name: "db", MaxConnections: 80}}}
			puts, _ := rollout.AcceptManifest(state, rollout.Manifest{Version: version, Set: set, Compressed: []byte(raw), Digest: rollout.DigestOf(set, []byte(raw)), Source: "test"}, h.wall)
			return puts
		}, Done: func() {}}) > 0
	}
	Convey("The highest version is kept, with its bytes; one not above changes nothing", t, func() {
		h := newHarness(1, store.New())
		So(put(h, 7, "seven"), ShouldBeTrue)
		So(put(h, 7, "other"), ShouldBeFalse)
		So(put(h, 6, "six"), ShouldBeFalse)
		So(put(h, 12, "twelve"), ShouldBeTrue)
		set, raw, found := rollout.NewestManifest(h.stored)
		So(found, ShouldBeTrue)
		So(set.Version, ShouldEqual, 12)
		So(set.Sequence, ShouldEqual, 2)
		So(string(raw), ShouldEqual, "twelve")
		So(h.Snapshot().NewestSet().Databases[0].MaxConnections, ShouldEqual, 80)
	})
	Convey("Bytes go with their set, but never the newest", t, func() {
		h := newHarness(1, store.New())
		put(h, 1, "one")
		put(h, 2, "two")
		for range 8 {
			h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: h.stored.Version, ActiveSequence: h.Snapshot().ActiveSet(h.wall).Sequence}, 1, h.now)
			h.runWrites()
			h.advance(time.Second)
			h.Flush(true, h.wall, h.now)
		}
		So(len(h.Snapshot().Sets), ShouldEqual, 1)
		So(h.stored.Keys(model.PrefixManifest), ShouldResemble, []string{rollout.ManifestKey(2)})
		_, raw, _ := rollout.NewestManifest(h.stored)
		So(string(raw), ShouldEqual, "two")
	})
	Convey("A set that is put beside manifests keeps the version held", t, func() {
		h := newHarness(1, store.New())
		put(h, 9, "nine")
		h.putSet(1)
		So(h.Snapshot().NewestSet().Version, ShouldEqual, 9)
		for range 8 {
			h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: h.stored.Version, ActiveSequence: h.Snapshot().ActiveSet(h.wall).Sequence}, 1, h.now)
			h.runWrites()
			h.advance(time.Second)
			h.Flush(true, h.wall, h.now)
		}
		So(len(h.Snapshot().Sets), ShouldEqual, 1)
		set, raw, _ := rollout.NewestManifest(h.stored)
		So(set.Version, ShouldEqual, 9)
		So(string(raw), ShouldEqual, "nine")
		So(put(h, 9, "again"), ShouldBeFalse)
	})
}

func TestRequestsOfIncarnations(t *testing.T) {
	bare := func(number uint64, incarnation int64) UpdateRequest {
		return UpdateRequest{Node: "d1", Kind: model.KindProxy, Incarnation: incarnation, RequestNumber: number, WithoutLease: true}
	}
	Convey("A node that says it holds no lease is not waited for; a late word of that, or of an earlier run, changes nothing", t, func() {
		h := newHarness(3, store.New())
		h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Incarnation: 7, RequestNumber: 2}, 1, h.now)
		h.runWrites()
		state := func() bool {
			_, found := h.LeasedNodes(h.now)["d1"]
			return found
		}
		grant := func(number uint64, incarnation int64) {
			h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Incarnation: incarnation, RequestNumber: number}, 2, h.now)
			h.advance(DefaultPollTimeout)
			h.Flush(true, h.wall, h.now)
		}
		grant(3, 7)
		So(state(), ShouldBeTrue)
		h.HandleRequest(bare(2, 7), 3, h.now)
		So(state(), ShouldBeTrue)
		h.HandleRequest(bare(4, 7), 4, h.now)
		So(state(), ShouldBeFalse)
		grant(1, 8)
		So(state(), ShouldBeTrue)
		h.HandleRequest(bare(9, 7), 5, h.now)
		So(state(), ShouldBeTrue)
		h.HandleRequest(bare(2, 8), 6, h.now)
		So(state(), ShouldBeFalse)
	})
	Convey("A node that gives no run is taken at its word for nothing", t, func() {
		h := newHarness(3, store.New())
		h.request("d1", store.Version{})
		h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, WithoutLease: true}, 9, h.now)
		_, found := h.LeasedNodes(h.now)["d1"]
		So(found, ShouldBeTrue)
	})
}

func TestEffectiveTimeComesWithLease(t *testing.T) {
	Convey("The news of a set's moment brings a lease past that moment, also before the write of it is answered", t, func() {
		h := newHarness(3, store.New())
		h.request("d1", store.Version{})
		h.putSet(0)
		h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: h.stored.Version}, 5, h.now)
		write, due := h.NextActivation(h.wall, h.now)
		So(due, ShouldBeTrue)
		h.stored = h.stored.Clone()
		h.stored.Apply(store.Version{Epoch: 3, Sequence: h.stored.Version.Sequence + 1}, write.Build(h.stored))
		h.Publish(h.stored)
		So(h.Snapshot().HasPendingSet(), ShouldBeFalse)
		replies := h.Flush(true, h.wall, h.now)
		So(len(replies), ShouldEqual, 1)
		So(replies[0].Update.LeaseDuration, ShouldBeGreaterThan, time.Duration(h.Snapshot().NewestSet().EffectiveAt-h.wall))
		write.Done()
	})
}

func TestRequestsEndWithActivation(t *testing.T) {
	Convey("An ask that came before a set's moment is answered when that is past, with a whole lease again", t, func() {
		h := newHarness(3, store.New())
		h.request("d1", store.Version{})
		h.putSet(0)
		h.request("d1", h.stored.Version)
		h.request("d1", h.stored.Version)
		h.putSet(1)
		h.request("d1", h.stored.Version)
		left := time.Duration(h.Snapshot().NewestSet().EffectiveAt - h.wall)
		So(left, ShouldBeGreaterThan, 0)
		h.advance(left - time.Millisecond)
		h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: h.stored.Version}, 8, h.now)
		So(len(h.Flush(true, h.wall, h.now)), ShouldEqual, 0)
		h.advance(2 * time.Millisecond)
		replies := h.Flush(true, h.wall, h.now)
		So(len(replies), ShouldEqual, 1)
		So(replies[0].Update.LeaseDuration, ShouldEqual, lease.DefaultTiming().LeaseDuration)
		h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: h.stored.Version}, 9, h.now)
		So(len(h.Flush(true, h.wall, h.now)), ShouldEqual, 0)
	})
}
