package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

func TestObserver(t *testing.T) {
	now := time.Hour
	withTransitionAge := func(evidence Evidence, since time.Duration) Evidence {
		evidence.Writer.LastTransitionAt = wallTime - int64(since)
		return evidence
	}
	replica := ProbeResult{Answered: true, Role: model.RoleReplica, Term: 3, Position: positionAt(3, 99)}
	Convey("A result counts as after settling only if the command was sent after settling, in the current episode", t, func() {
		observer := NewObserver("c2")
		evidence := observer.Augment(closingTerm(nil), now)
		So(evidence.Self, ShouldEqual, "c2")
		observer.BeginProbe(evidence, "b")(replica, now)
		unsettled := evidence
		unsettled.Settled = false
		observer.BeginProbe(unsettled, "c")(replica, now)
		evidence = observer.Augment(closingTerm(nil), now+time.Second)
		So(evidence.Probes["b"].AfterSettled, ShouldBeTrue)
		So(evidence.Probes["b"].Age, ShouldEqual, time.Second)
		So(evidence.Probes["b"].Position, ShouldResemble, positionAt(3, 99))
		So(evidence.Probes["b"].GapSequence, ShouldEqual, 1)
		So(evidence.Probes["b"].Tenure, ShouldEqual, "c1@1")
		So(evidence.Probes["c"].AfterSettled, ShouldBeFalse)
		later := observer.Augment(withTransitionAge(closingTerm(nil), time.Millisecond), now+time.Second)
		So(later.Probes["b"].AfterSettled, ShouldBeFalse)
		So(later.Probes["b"].Answered, ShouldBeTrue)
		So(observer.Augment(closingTerm(nil), now+time.Second).Probes["b"].AfterSettled, ShouldBeFalse)
	})
	Convey("A result that arrives after its episode does not count as after settling, and only one command per instance is in flight", t, func() {
		observer := NewObserver("c1")
		evidence := observer.Augment(closingTerm(nil), now)
		finish := observer.BeginProbe(evidence, "b")
		So(finish, ShouldNotBeNil)
		So(observer.BeginProbe(evidence, "b"), ShouldBeNil)
		observer.Augment(withTransitionAge(closingTerm(nil), time.Millisecond), now)
		finish(replica, now)
		So(observer.Augment(withTransitionAge(closingTerm(nil), time.Millisecond), now).Probes["b"].AfterSettled, ShouldBeFalse)
		So(observer.BeginProbe(evidence, "b"), ShouldNotBeNil)
	})
	Convey("After a record is committed, results of earlier commands no longer count as after settling, and the next promote call belongs to the new episode", t, func() {
		observer := NewObserver("c1")
		evidence := observer.Augment(closingTerm(nil), now)
		finish := observer.BeginProbe(evidence, "b")
		observer.BeginProbe(evidence, "c")(replica, now)
		observer.RecordCommitted(failover.Record{Writer: promotingTerm(nil, 0).Writer})
		finish(replica, now)
		observer.BeginPromote(Promote{Database: "db", Instance: "b"}, now)(200, false)
		next := observer.Augment(promotingTerm(nil, 0), now)
		So(next.Probes["b"].AfterSettled, ShouldBeFalse)
		So(next.Probes["c"].AfterSettled, ShouldBeFalse)
		So(next.PromoteCalls, ShouldResemble, []PromoteCall{{Instance: "b", Status: 200}})
	})
	Convey("A repeated promote call belongs to the same episode; the calls of an earlier episode are dropped", t, func() {
		observer := NewObserver("c1")
		observer.Augment(promotingTerm(nil, 2*time.Second), now)
		observer.BeginPromote(Promote{Database: "db", Instance: "b"}, now)(409, false)
		observer.Augment(promotingTerm(nil, time.Second), now)
		observer.BeginPromote(Promote{Database: "db", Instance: "b"}, now+time.Second)
		So(observer.Augment(promotingTerm(nil, 0), now+time.Second).PromoteCalls, ShouldResemble, []PromoteCall{{Instance: "b", Age: time.Second, Status: 409}, {Instance: "b"}})
		So(observer.Augment(closingTerm(nil), now).PromoteCalls, ShouldBeEmpty)
	})
	Convey("A failed command gives an empty result; results are dropped after the retention, unless a command is in flight", t, func() {
		observer := NewObserver("c1")
		evidence := observer.Augment(openTerm(), now)
		observer.BeginProbe(evidence, "b")(ProbeResult{}, now)
		observer.BeginProbe(evidence, "c")(replica, now)
		finish := observer.BeginProbe(evidence, "c")
		evidence = observer.Augment(openTerm(), now+probeRetention)
		So(len(evidence.Probes), ShouldEqual, 2)
		So(evidence.Probes["b"].Answered || evidence.Probes["b"].Busy || evidence.Probes["b"].Gone, ShouldBeFalse)
		evidence = observer.Augment(openTerm(), now+probeRetention+1)
		So(len(evidence.Probes), ShouldEqual, 1)
		finish(replica, now+probeRetention+1)
		So(observer.Augment(openTerm(), now+probeRetention+1).Probes["c"].Age, ShouldEqual, 0)
	})
	Convey("Results of one database are not used for another", t, func() {
		observer := NewObserver("c1")
		observer.BeginProbe(observer.Augment(closingTerm(nil), now), "b")(replica, now)
		other := closingTerm(nil)
		other.Database = "other"
		So(observer.Augment(other, now).Probes, ShouldBeEmpty)
	})
}
