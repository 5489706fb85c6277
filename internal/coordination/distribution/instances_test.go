package distribution

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func TestInstanceList(t *testing.T) {
	Convey("A new tenure lists an instance only if it was observed shortly before the tenure began or later, since nodes may have newer data from the previous tenure", t, func() {
		h := newHarness(1, store.New())
		h.observe(instance("a", model.RolePrimary), instance("b", model.RoleReplica))
		observations := []Observation{{Instance: instance("a", model.RolePrimary), ObservedAt: h.now}, {Instance: instance("b", model.RoleReplica), ObservedAt: h.now}}
		h.EpochChanged(consensus.Record{Epoch: 2, Primary: "c2"}, h.stored, h.now)
		h.advance(maxObservationAge + time.Millisecond)
		h.EpochChanged(consensus.Record{Epoch: 3, Primary: "c1"}, h.stored, h.now)
		So(h.UpdateInstances(observations), ShouldBeFalse)
		observations[0].ObservedAt = h.now - maxObservationAge
		So(h.UpdateInstances(observations), ShouldBeTrue)
		So(len(h.instances.entries), ShouldEqual, 1)
		So(h.instances.entries["a"].instance, ShouldResemble, listEntry(observations[0].Instance))
		h.advance(time.Minute)
		leaving := instance("b", model.RoleReplica)
		leaving.Leaving = true
		So(h.UpdateInstances([]Observation{observations[0], {Instance: leaving, ObservedAt: h.now}}), ShouldBeTrue)
		So(len(h.instances.entries), ShouldEqual, 2)
		So(h.instances.entries["b"].instance.Leaving, ShouldBeTrue)
	})
	Convey("The list changes when an instance with synchronous replication is added or changes, but not with repeated observations, positions or other instances", t, func() {
		h := newHarness(1, store.New())
		first := instance("a", model.RolePrimary)
		So(h.observe(first), ShouldBeTrue)
		changed := first
		changed.AnnouncementNumber, changed.Position, changed.Term = 7, model.Position{Term: 3, Index: 9}, 3
		So(h.observe(changed), ShouldBeFalse)
		for _, change := range []func(*model.Instance){
			func(i *model.Instance) { i.Address = "x:1" }, func(i *model.Instance) { i.Zone = "z" }, func(i *model.Instance) { i.Role = model.RoleReplica },
			func(i *model.Instance) { i.Leaving = true }, func(i *model.Instance) { i.Stopped = true }, func(i *model.Instance) { i.Connections = 9 },
			func(i *model.Instance) { i.Slots = 9 },
		} {
			change(&changed)
			So(h.observe(changed), ShouldBeTrue)
		}
		So(h.observe(changed, instance("b", model.RoleReplica)), ShouldBeTrue)
		So(h.observe(changed, instance("b", model.RoleReplica), model.Instance{Name: "plain", Database: "x"}), ShouldBeFalse)
	})
	Convey("A request with a list of another tenure is answered immediately, a request with an older list after the settle delay, and a request with the newest list waits", t, func() {
		h := newHarness(1, store.New())
		h.request("d1", store.Version{})
		h.observe(instance("a", model.RolePrimary))
		request := UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: h.stored.Version}
		h.HandleRequest(request, 1, h.now)
		replies := h.flush()
		So(len(replies), ShouldEqual, 1)
		So(replies[0].Update.ListVersion.Number, ShouldEqual, 1)
		So(len(replies[0].Update.Instances), ShouldEqual, 1)
		request.ListVersion = replies[0].Update.ListVersion
		h.HandleRequest(request, 2, h.now)
		So(h.flush(), ShouldBeEmpty)
		h.observe(instance("a", model.RoleReplica))
		So(h.flush(), ShouldBeEmpty)
		h.advance(settleDelay)
		So(h.flush()[0].Update.Instances[0].Role, ShouldEqual, model.RoleReplica)
		request.ListVersion = ListVersion{Tenure: "c9@1", Number: 2}
		h.HandleRequest(request, 3, h.now)
		So(len(h.flush()), ShouldEqual, 1)
	})
	Convey("A request with a list of this tenure gets only the instances that changed since that list", t, func() {
		h := newHarness(1, store.New())
		list := func(version ListVersion) (ListVersion, []string) {
			h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: h.stored.Version, ListVersion: version}, 1, h.now)
			h.advance(settleDelay)
			update := h.flush()[0].Update
			var names []string
			for _, listed := range update.Instances {
				names = append(names, listed.Name)
			}
			return update.ListVersion, names
		}
		first, second := instance("a", model.RolePrimary), instance("b", model.RoleReplica)
		h.observe(second, first)
		earlyVersion, names := list(ListVersion{})
		So(names, ShouldResemble, []string{"a", "b"})
		h.observe(first, second, instance("c", model.RoleReplica))
		second.Leaving = true
		So(h.RegisterInstance(second), ShouldBeTrue)
		So(h.RegisterInstance(second), ShouldBeFalse)
		_, names = list(earlyVersion)
		So(names, ShouldResemble, []string{"b", "c"})
		_, names = list(ListVersion{Tenure: "c9@1", Number: earlyVersion.Number})
		So(names, ShouldResemble, []string{"a", "b", "c"})
		h.observe(first, second)
		h.RegisterInstance(instance("d", model.RoleReplica))
		_, names = list(ListVersion{})
		SoMsg("an instance that the control node no longer observes is not in later lists", names, ShouldResemble, []string{"a", "b", "d"})
	})
	Convey("A request waits for the poll timeout of the timing", t, func() {
		timing := lease.DefaultTiming()
		timing.PollTimeout = 500 * time.Millisecond
		h := newHarnessWithTiming(timing, 1, store.New())
		h.receive("d1", store.Version{})
		h.advance(400 * time.Millisecond)
		So(h.flush(), ShouldBeEmpty)
		h.advance(100 * time.Millisecond)
		So(len(h.flush()), ShouldEqual, 1)
	})
}
