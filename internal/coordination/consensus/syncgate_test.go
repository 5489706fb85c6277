package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSyncGate(t *testing.T) {
	now := time.Hour
	sendToPeer := func(body any) Send { return Send{To: "c2", Body: body} }
	voterState, table := Save{Kind: FileVoterState, Sequence: 1}, Save{Kind: FileTable, Sequence: 1}
	Convey("If no file has to be synced, all effects pass at once and in order", t, func() {
		var gate SyncGate
		So(gate.Pass([]Effect{sendToPeer(RenewLease{}), TableCommitted{}, SubmitResult{Committed: true}}, now), ShouldResemble, []Effect{sendToPeer(RenewLease{}), TableCommitted{}, SubmitResult{Committed: true}})
		_, due := gate.Next(now)
		So(due, ShouldBeFalse)
	})
	Convey("Effects wait for the sync of the files that they depend on; votes and lease grants do not wait for the table", t, func() {
		var gate SyncGate
		ready := gate.Pass([]Effect{sendToPeer(RenewLease{}), table, sendToPeer(Replicate{}), sendToPeer(RenewLeaseAck{}), TableCommitted{}, SubmitResult{Token: 1, Committed: true}, SubmitResult{Token: 2}}, now)
		So(ready, ShouldResemble, []Effect{sendToPeer(RenewLease{}), sendToPeer(RenewLeaseAck{}), SubmitResult{Token: 2}})
		So(gate.Pass([]Effect{voterState, sendToPeer(Promise{}), sendToPeer(StatusRequest{})}, now), ShouldResemble, []Effect{sendToPeer(StatusRequest{})})
		task, _ := gate.Next(now)
		So(task, ShouldResemble, table)
		_, due := gate.Next(now)
		So(due, ShouldBeFalse)
		So(gate.Done(true, now), ShouldResemble, []Effect{sendToPeer(Replicate{}), TableCommitted{}, SubmitResult{Token: 1, Committed: true}})
		task, _ = gate.Next(now)
		So(task, ShouldResemble, voterState)
		So(gate.Done(true, now), ShouldResemble, []Effect{sendToPeer(Promise{})})
		So(gate.SyncPending(now+time.Second), ShouldEqual, 0)
	})
	Convey("A save that failed stays pending, blocks the effects that depend on it and is retried after SyncRetryDelay", t, func() {
		var gate SyncGate
		So(gate.Pass([]Effect{voterState, sendToPeer(Accepted{})}, now), ShouldBeEmpty)
		for attempt := range time.Duration(5) {
			later := now + attempt*SyncRetryDelay
			task, _ := gate.Next(later)
			So(task, ShouldResemble, voterState)
			So(gate.Done(false, later), ShouldBeEmpty)
			So(gate.SyncPending(later+1), ShouldEqual, attempt*SyncRetryDelay+1)
			_, due := gate.Next(later + SyncRetryDelay - 1)
			So(due, ShouldBeFalse)
		}
		gate.Next(now + 5*SyncRetryDelay)
		So(gate.Done(true, now+5*SyncRetryDelay), ShouldResemble, []Effect{sendToPeer(Accepted{})})
	})
	Convey("While the disk hangs, at most one message per type and node and one save per kind of file are queued", t, func() {
		var gate SyncGate
		gate.Pass([]Effect{table}, now)
		gate.Next(now)
		for sequence := range uint64(10000) {
			gate.Pass([]Effect{
				Save{Kind: FileVoterState, Sequence: sequence}, sendToPeer(RenewLeaseAck{}), sendToPeer(Promise{Epoch: sequence}), Send{To: "c3", Body: RenewLeaseAck{}},
			}, now)
		}
		So(len(gate.blocked), ShouldEqual, 3)
		So(len(gate.tasks), ShouldEqual, 2)
		gate.Done(true, now)
		task, _ := gate.Next(now)
		So(task, ShouldResemble, Save{Kind: FileVoterState, Sequence: 9999})
		So(gate.Done(true, now), ShouldContain, sendToPeer(Promise{Epoch: 9999}))
	})
	Convey("A save that the disk has started is not replaced", t, func() {
		var gate SyncGate
		gate.Pass([]Effect{voterState}, now)
		gate.Next(now)
		gate.Pass([]Effect{Save{Kind: FileVoterState, Sequence: 2}, sendToPeer(Accepted{})}, now)
		So(gate.Done(true, now), ShouldBeEmpty)
		task, _ := gate.Next(now)
		So(task, ShouldResemble, Save{Kind: FileVoterState, Sequence: 2})
		So(gate.IsEpochChangeBlocked(), ShouldBeFalse)
		gate.Pass([]Effect{EpochChanged{}}, now)
		So(gate.IsEpochChangeBlocked(), ShouldBeTrue)
	})
}
