package asyncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func TestReplicaMaintenance(t *testing.T) {
	slow := func() Evidence {
		evidence := openTerm()
		evidence.Observations[2].CommitWait = time.Second
		return evidence
	}
	Convey("A slow replica is first removed from the candidates, then from the required replicas", t, func() {
		evidence := slow()
		evidence.Writer = firstWriter(evidence)
		So(evidence.Writer.Candidates, ShouldResemble, map[string]string{"b": "b-1"})
		So(evidence.Writer.RequiredReplicas, ShouldContainKey, "c")
		So(firstWriter(evidence).RequiredReplicas, ShouldResemble, map[string]string{"b": "b-1"})
	})
	Convey("A replica that was removed as slow is required again after the exclusion period, or at once if a candidate loses its data", t, func() {
		evidence := slow()
		evidence.Writer = firstWriter(evidence)
		removed := firstWriter(evidence)
		evidence = openTerm()
		evidence.Writer = removed
		evidence.WallNanos = int64(5 * time.Second)
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence.WallNanos = int64(7 * time.Second)
		So(firstWriter(evidence).RequiredReplicas, ShouldContainKey, "c")
		evidence.WallNanos = int64(5 * time.Second)
		evidence.Observations[1].Instance.Incarnation = "b-2"
		evidence.Writer = firstWriter(evidence)
		So(firstWriter(evidence).RequiredReplicas, ShouldContainKey, "c")
	})
	Convey("If commits wait long for every replica, or there was no recent contact with the primary, no replica is removed as slow", t, func() {
		evidence := openTerm()
		evidence.Observations[1].CommitWait = time.Second
		evidence.Observations[2].CommitWait = time.Second
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence = openTerm()
		evidence.Observations[2].CommitWait = time.Second
		evidence.Observations[0].ContactAge = 900 * time.Millisecond
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
	})
	Convey("A replica that returns is required at once, and becomes a candidate once the writer role is settled and the replica has caught up", t, func() {
		evidence := openTerm()
		evidence.Writer.RequiredReplicas = map[string]string{"b": "b-1"}
		evidence.Writer.Candidates = map[string]string{"b": "b-1"}
		withRequired := firstWriter(evidence)
		So(withRequired.RequiredReplicas, ShouldContainKey, "c")
		So(withRequired.Candidates, ShouldNotContainKey, "c")
		evidence.Writer = withRequired
		evidence.Settled = false
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence.Settled = true
		evidence.PrimaryPosition = model.Position{Term: 1, Index: 98}
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		evidence.PrimaryPosition = model.Position{Term: 1, Index: 97}
		So(firstWriter(evidence).Candidates, ShouldContainKey, "c")
	})
	Convey("If the only candidate loses its data while the primary is alive, another replica is required", t, func() {
		evidence := openTerm()
		evidence.Writer.RequiredReplicas = map[string]string{"b": "b-1"}
		evidence.Writer.Candidates = map[string]string{"b": "b-1"}
		evidence.Observations[1].Instance.Incarnation = "b-2"
		evidence.Observations[1].Instance.Position = model.Position{}
		So(firstWriter(evidence).RequiredReplicas, ShouldContainKey, "c")
	})
}
