package syncrepl

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/state/model"
)

func TestOutcome(t *testing.T) {
	replica := func() map[string]ProbeResult {
		return map[string]ProbeResult{"b": answeredProbe(model.RoleReplica, 3, 99)}
	}
	down := func() map[string]ProbeResult { return map[string]ProbeResult{"b": failedProbe()} }
	Convey("The chosen instance is probed at the fast interval, and the new term opens once it answers as primary of a later term", t, func() {
		evidence := promotingTerm(replica(), 300*time.Millisecond)
		So(Step(evidence, DefaultTiming()), ShouldBeEmpty)
		probe := evidence.Probes["b"]
		probe.Age = 200 * time.Millisecond
		evidence.Probes["b"] = probe
		So(effectsOf[QueryStatus](evidence), ShouldResemble, []QueryStatus{{Instance: "b", Address: "b:1"}})
		evidence.Probes["b"] = answeredProbe(model.RolePrimary, 3, 99)
		_, recorded := recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		evidence.Probes["b"] = answeredProbe(model.RolePrimary, 4, 100)
		writer, _ := recordedWriter(evidence)
		So(writer.Phase, ShouldEqual, model.PhaseOpen)
		So(writer.Term, ShouldEqual, 4)
		So(writer.Primary, ShouldEqual, "b")
		So(writer.PreviousTerm, ShouldEqual, 3)
		So(writer.TermStart, ShouldResemble, positionAt(4, 100))
		So(writer.HighWatermark, ShouldResemble, positionAt(3, 99))
		So(writer.MinPosition, ShouldResemble, model.Position{})
		So(writer.FencingToken, ShouldEqual, 4)
		So(writer.Promoter, ShouldEqual, "c1")
	})
	Convey("The call is repeated after the retry interval, while the instance is a replica, and only for the same instance", t, func() {
		So(effectsOf[Promote](promotingTerm(replica(), time.Second)), ShouldBeEmpty)
		evidence := promotingTerm(replica(), 2*time.Second)
		So(effectsOf[Promote](evidence), ShouldResemble, []Promote{{Database: "db", Instance: "b", LeaseHolder: "c1", FencingToken: 4}})
		writer, _ := recordedWriter(evidence)
		So(writer.PromoteCalls, ShouldEqual, 2)
		evidence.Self = "c2"
		So(effectsOf[Promote](evidence)[0].FencingToken, ShouldEqual, 5)
		evidence.Probes = map[string]ProbeResult{}
		So(effectsOf[Promote](evidence), ShouldBeEmpty)
	})
	Convey("A call that was refused because of the rate limit is repeated after the shorter interval", t, func() {
		evidence := promotingTerm(replica(), 400*time.Millisecond)
		evidence.PromoteCalls = []PromoteCall{{Instance: "b", Status: 429}}
		So(len(effectsOf[Promote](evidence)), ShouldEqual, 1)
		evidence.Writer.LastTransitionAt = wallTime - int64(200*time.Millisecond)
		So(effectsOf[Promote](evidence), ShouldBeEmpty)
	})
	Convey("The promotion is abandoned only if the instance is gone, or if it is down and every call was refused", t, func() {
		evidence := promotingTerm(down(), 400*time.Millisecond)
		evidence.PromoteCalls = []PromoteCall{{Instance: "b", Status: 409}}
		writer, _ := recordedWriter(evidence)
		So(writer.Phase, ShouldEqual, model.PhaseClosing)
		So(writer.Promoting, ShouldEqual, "")
		So(writer.MinPosition, ShouldResemble, model.Position{})
		evidence.Writer.PromoteCalls = 2
		_, recorded := recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		for _, status := range []int{0, 500, 200} {
			evidence.PromoteCalls = []PromoteCall{{Instance: "b", Status: 409}, {Instance: "b", Status: status}}
			_, recorded = recordedWriter(evidence)
			So(recorded, ShouldBeFalse)
		}
		evidence = promotingTerm(replica(), 400*time.Millisecond)
		evidence.PromoteCalls = []PromoteCall{{Instance: "b", Status: 409}}
		_, recorded = recordedWriter(evidence)
		So(recorded, ShouldBeFalse)
		evidence = promotingTerm(map[string]ProbeResult{"b": {Gone: true, Age: 50 * time.Millisecond}}, 400*time.Millisecond)
		writer, _ = recordedWriter(evidence)
		So(writer.Phase, ShouldEqual, model.PhaseClosing)
	})
	Convey("While the outcome of the call for the first instance is unknown, no second instance is called, regardless of the time passed", t, func() {
		for _, probe := range []map[string]ProbeResult{down(), replica(), {}} {
			for _, since := range []time.Duration{time.Second, 5 * time.Second, time.Hour} {
				evidence := promotingTerm(probe, since)
				evidence.PromoteCalls = []PromoteCall{{Instance: "b"}}
				evidence.SettledFor = time.Hour
				writer, recorded := recordedWriter(evidence)
				So(recorded && writer.Promoting != "b", ShouldBeFalse)
				for _, call := range effectsOf[Promote](evidence) {
					So(call.Instance, ShouldEqual, "b")
				}
			}
		}
	})
}

func TestUnknownPromoteOutcome(t *testing.T) {
	down := func(calls ...PromoteCall) Evidence {
		evidence := promotingTerm(map[string]ProbeResult{"b": failedProbe()}, time.Second)
		evidence.PromoteCalls = calls
		evidence.Writer.PromoteCalls = len(calls)
		return evidence
	}
	abandoned := func(evidence Evidence) bool {
		writer, recorded := recordedWriter(evidence)
		return recorded && writer.Phase == model.PhaseClosing && writer.Promoting == ""
	}
	fenced := func(calls ...PromoteCall) Evidence {
		evidence := down(calls...)
		evidence.FencingEnforced = true
		evidence.Writer.FencingToken = calls[len(calls)-1].FencingToken
		return evidence
	}
	lostCall := func(fence uint64) PromoteCall {
		return PromoteCall{Instance: "b", Age: 3 * time.Second, FencingToken: fence}
	}
	answeredCall := func(fence uint64, status int) PromoteCall {
		return PromoteCall{Instance: "b", Age: 200 * time.Millisecond, FencingToken: fence, Status: status}
	}
	Convey("A call that was never sent counts as refused", t, func() {
		So(abandoned(down(PromoteCall{Instance: "b", Unsent: true}, answeredCall(4, 409))), ShouldBeTrue)
		So(abandoned(down(PromoteCall{Instance: "b", Unsent: true})), ShouldBeTrue)
		So(abandoned(down(PromoteCall{Instance: "b"}, answeredCall(4, 409))), ShouldBeFalse)
	})
	Convey("If fencing is enforced, the refusal of a call with a higher token fences off every earlier call of any control server", t, func() {
		So(abandoned(fenced(lostCall(4), answeredCall(5, 409))), ShouldBeTrue)
		evidence := fenced(lostCall(4), answeredCall(5, 409))
		evidence.PromoteCalls = evidence.PromoteCalls[1:]
		evidence.Writer.PromoteCalls = 7
		So(abandoned(evidence), ShouldBeTrue)
		evidence = fenced(lostCall(4), answeredCall(5, 409))
		evidence.FencingEnforced = false
		So(abandoned(evidence), ShouldBeFalse)
	})
	Convey("A call is not fenced off by a lower or equal token, another status or a call for another instance, or if the instance answers", t, func() {
		So(abandoned(fenced(lostCall(5), answeredCall(5, 409))), ShouldBeFalse)
		So(abandoned(fenced(answeredCall(4, 409), lostCall(5))), ShouldBeFalse)
		for _, status := range []int{0, 200, 429, 500} {
			So(abandoned(fenced(lostCall(4), answeredCall(5, status))), ShouldBeFalse)
		}
		evidence := fenced(lostCall(4), answeredCall(5, 409))
		evidence.PromoteCalls[1].Instance = "c"
		So(abandoned(evidence), ShouldBeFalse)
		evidence = fenced(lostCall(4), answeredCall(5, 409))
		evidence.Writer.FencingToken = 6
		So(abandoned(evidence), ShouldBeFalse)
		evidence = fenced(lostCall(4), answeredCall(5, 409))
		evidence.Probes["b"] = answeredProbe(model.RoleReplica, 3, 99)
		So(abandoned(evidence), ShouldBeFalse)
		evidence.Probes["b"] = ProbeResult{Busy: true, AfterSettled: true, Age: 50 * time.Millisecond}
		So(abandoned(evidence), ShouldBeFalse)
	})
	Convey("An accepted call can no longer take effect once a call made at least the retry interval later was refused", t, func() {
		accepted := PromoteCall{Instance: "b", Age: 200*time.Millisecond + DefaultTiming().PromoteRetryInterval, FencingToken: 4, Status: 200}
		So(abandoned(down(accepted, answeredCall(4, 409))), ShouldBeTrue)
		accepted.Age -= time.Millisecond
		So(abandoned(down(accepted, answeredCall(4, 409))), ShouldBeFalse)
	})
	Convey("A repeated call of the same control server gets a higher token only if fencing is enforced", t, func() {
		for _, fenced := range []bool{true, false} {
			evidence := promotingTerm(map[string]ProbeResult{"b": failedProbe()}, 2*time.Second)
			evidence.PromoteCalls = []PromoteCall{lostCall(4)}
			evidence.FencingEnforced = fenced
			call := effectsOf[Promote](evidence)
			So(len(call), ShouldEqual, 1)
			So(call[0].Instance, ShouldEqual, "b")
			So(call[0].FencingToken, ShouldEqual, map[bool]int{true: 5, false: 4}[fenced])
		}
	})
	Convey("If the call is lost and the instance never returns, another replica is promoted in time", t, func() {
		evidence := promotingTerm(map[string]ProbeResult{"b": failedProbe(), "c": answeredProbe(model.RoleReplica, 3, 99)}, time.Millisecond)
		evidence.FencingEnforced = true
		evidence.PromoteCalls = []PromoteCall{{Instance: "b", FencingToken: 4}}
		choseAnother := func() bool {
			return evidence.Writer.Phase == model.PhasePromoting && evidence.Writer.Promoting != "b"
		}
		now := time.Duration(0)
		for ; now < 10*time.Second && !choseAnother(); now += 50 * time.Millisecond {
			evidence.WallNanos = wallTime + int64(now)
			evidence.SettledFor = now
			evidence = stepWithPlatform(evidence, map[string]int{"b": 409, "c": 200})
		}
		So(choseAnother(), ShouldBeTrue)
		So(evidence.Writer.Promoting, ShouldEqual, "c")
		So(now, ShouldBeLessThan, 2*DefaultTiming().PromoteRetryInterval+DefaultTiming().ReplicaWait)
	})
}

// stepWithPlatform returns the evidence after a step whose records are committed and
// whose promote calls are answered with the status of their instance.
func stepWithPlatform(evidence Evidence, statuses map[string]int) Evidence {
	for _, effect := range Step(evidence, DefaultTiming()) {
		if record, ok := effect.(failover.Record); ok {
			evidence.Writer = record.Writer
		}
		if evidence.Writer.Phase != model.PhasePromoting {
			evidence.PromoteCalls = nil
		}
		if call, ok := effect.(Promote); ok {
			evidence.PromoteCalls = append(evidence.PromoteCalls, PromoteCall{
				Instance:     call.Instance,
				FencingToken: call.FencingToken,
				Status:       statuses[call.Instance],
			})
		}
	}
	return evidence
}
