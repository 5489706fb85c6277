package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

func TestHeldLease(t *testing.T) {
	const span = time.Second
	cases := []struct {
		behavior      string
		previousUntil time.Duration
		sentAt        []time.Duration
		wantUntil     time.Duration
	}{
		{"is counted from the quorum-th latest of the times at which the renewals were sent", 0, []time.Duration{70, 30, 50}, 50 + span*9/10},
		{"is not extended by a voter beyond the quorum", 0, []time.Duration{50, 70, 50}, 50 + span*9/10},
		{"never becomes shorter", 2 * span, []time.Duration{70, 30, 50}, 2 * span},
	}
	for _, test := range cases {
		Convey("The lease that a primary holds "+test.behavior, t, func() {
			lease := heldLease{until: test.previousUntil}
			lease.extend(test.sentAt, 2, span)
			So(lease.until, ShouldEqual, test.wantUntil)
		})
	}
}

func TestGrantedLease(t *testing.T) {
	cases := []struct {
		behavior  string
		granted   grantedLease
		candidate string
		wantUntil time.Duration
	}{
		{"blocks no vote before it is granted", grantedLease{}, "c2", 0},
		{"does not block a vote for the primary itself", grantedLease{primary: "c1", grantedAt: 7}, "c1", 0},
		{"blocks votes for all other candidates for its span", grantedLease{primary: "c1", grantedAt: 7}, "c2", 107},
	}
	for _, test := range cases {
		Convey("A lease that a voter grants "+test.behavior, t, func() {
			So(test.granted.blocksUntil(test.candidate, 100), ShouldEqual, test.wantUntil)
		})
	}
}

func TestProposalState(t *testing.T) {
	const replyTimeout = 100
	startProposal := func() proposalState {
		p := proposalState{nextAt: 50}
		p.start(proposal.NewProposer(p.nextNumber("c1"), 3, nil, 0), Record{Epoch: 4})
		return p
	}
	Convey("A proposal is for the epoch after its base record, and a new number is higher than all known rounds", t, func() {
		p := startProposal()
		So(p.epoch(), ShouldEqual, 5)
		So(p.hasNumber(proposal.Number{Round: 1, Name: "c1"}), ShouldBeTrue)
		p.observeRound(7)
		p.observeRound(3)
		So(p.nextNumber("c1"), ShouldResemble, proposal.Number{Round: 8, Name: "c1"})
	})
	Convey("A proposal that timed out may still be decided until a record of its epoch is decided", t, func() {
		p := startProposal()
		p.expire(replyTimeout, replyTimeout)
		So(p.isUnderWay(), ShouldBeTrue)
		p.expire(replyTimeout, replyTimeout+1)
		So(p.isUnderWay(), ShouldBeFalse)
		So(p.unsettled, ShouldBeTrue)
		p.end()
		So(p.unsettled, ShouldBeFalse)
		So(p.isDue(0), ShouldBeTrue)
	})
	Convey("A refused proposal is retried when the first of the refusing voters may vote, even if others may vote only later", t, func() {
		p := startProposal()
		p.scheduleRetry(40)
		p.scheduleRetry(30)
		p.scheduleRetry(60)
		p.expire(replyTimeout, 29)
		So(p.isUnderWay(), ShouldBeTrue)
		p.expire(replyTimeout, 30)
		So(p.isUnderWay(), ShouldBeFalse)
		So(p.isDue(30), ShouldBeTrue)
	})
	Convey("A delay postpones the next proposal and never advances it", t, func() {
		p := startProposal()
		p.delayUntil(20)
		So(p.isDue(49), ShouldBeFalse)
		p.delayUntil(80)
		So(p.isDue(79), ShouldBeFalse)
		So(p.isDue(80), ShouldBeTrue)
	})
}

func TestVoterTracker(t *testing.T) {
	version := func(sequence uint64) store.Version { return store.Version{Epoch: 4, Sequence: sequence} }
	Convey("The silence of a voter that has not replied is counted from the start of the tracker", t, func() {
		tracker := newVoterTracker(100)
		So(tracker.silence("c2", 150), ShouldEqual, 50)
		So(tracker.acknowledgedWithin(200, "c2", 150), ShouldBeFalse)
		tracker.lastAck["c2"] = 140
		So(tracker.silence("c2", 150), ShouldEqual, 10)
		So(tracker.acknowledgedWithin(11, "c2", 150), ShouldBeTrue)
		So(tracker.acknowledgedWithin(10, "c2", 150), ShouldBeFalse)
	})
	Convey("The recorded version of a spare never decreases, and is cleared when the spare lacks writes", t, func() {
		tracker := newVoterTracker(0)
		So(tracker.hasSpareSynced("c4", version(1)), ShouldBeFalse)
		tracker.noteSpareVersion("c4", version(7))
		tracker.noteSpareVersion("c4", version(6))
		So(tracker.hasSpareSynced("c4", version(7)), ShouldBeTrue)
		So(tracker.hasSpareSynced("c4", version(8)), ShouldBeFalse)
		tracker.noteSpareBehind("c4")
		So(tracker.hasSpareSynced("c4", version(1)), ShouldBeFalse)
	})
	Convey("Forgetting a voter removes all its entries", t, func() {
		tracker := newVoterTracker(0)
		tracker.lastAck["c4"] = 5
		tracker.noteSpareVersion("c4", version(7))
		tracker.exclude("c4", 100)
		So(tracker.isExcluded("c4", 99), ShouldBeTrue)
		So(tracker.isExcluded("c4", 100), ShouldBeFalse)
		tracker.forget("c4")
		So(tracker, ShouldResemble, newVoterTracker(0))
	})
}

func TestPeerSet(t *testing.T) {
	Convey("The time with enough nodes restarts whenever there are fewer nodes than voters", t, func() {
		var peers peerSet
		twoPeers, threePeers := Peers{Names: []string{"c1", "c2"}}, Peers{Names: []string{"c3", "c1", "c2"}}
		peers.update(threePeers, 3, 10)
		peers.update(threePeers, 3, 20)
		So(peers.hasEnoughFor(10, 20), ShouldBeTrue)
		peers.update(twoPeers, 3, 30)
		So(peers.hasEnoughFor(0, 30), ShouldBeFalse)
		peers.update(threePeers, 3, 40)
		So(peers.hasEnoughFor(10, 49), ShouldBeFalse)
		So(peers.sorted(), ShouldResemble, []string{"c1", "c2", "c3"})
	})
	Convey("Nodes are looked up by address in the given order, and each is returned once", t, func() {
		peers := peerSet{byAddress: map[string]string{"a:1": "c2", "b:1": "c1", "c:1": "c2"}}
		So(peers.atAddresses([]string{"c:1", "x:1", "b:1", "a:1"}), ShouldResemble, []string{"c2", "c1"})
	})
}
