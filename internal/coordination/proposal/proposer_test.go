package proposal

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPaxosRounds(t *testing.T) {
	Convey("Once a majority has accepted a value, a later proposal can decide only that value", t, func() {
		acceptors := []*Acceptor{{}, {}, {}}
		first := NewProposer(Number{1, "a"}, 3, []byte("a"), 0)
		So(acceptors[0].Promise(first.Number), ShouldBeTrue)
		So(acceptors[1].Promise(first.Number), ShouldBeTrue)
		So(first.OnPromise("0", Number{}, nil), ShouldBeFalse)
		So(first.OnPromise("1", Number{}, nil), ShouldBeTrue)
		So(acceptors[0].Accept(first.Number, first.Value), ShouldBeTrue)
		So(acceptors[1].Accept(first.Number, first.Value), ShouldBeTrue)
		second := NewProposer(Number{2, "b"}, 3, []byte("b"), 0)
		So(acceptors[1].Promise(second.Number), ShouldBeTrue)
		So(acceptors[2].Promise(second.Number), ShouldBeTrue)
		second.OnPromise("2", acceptors[2].Accepted, acceptors[2].Value)
		So(second.OnPromise("1", acceptors[1].Accepted, acceptors[1].Value), ShouldBeTrue)
		So(string(second.Value), ShouldEqual, "a")
	})
	Convey("An acceptor rejects proposals below its promise, and a proposer counts each voter's acceptance once", t, func() {
		acceptor := &Acceptor{}
		So(acceptor.Promise(Number{3, "a"}), ShouldBeTrue)
		So(acceptor.Promise(Number{2, "z"}), ShouldBeFalse)
		So(acceptor.Accept(Number{2, "z"}, nil), ShouldBeFalse)
		round := NewProposer(Number{1, "a"}, 3, nil, 0)
		round.OnPromise("0", Number{}, nil)
		round.OnPromise("1", Number{}, nil)
		So(round.OnAccepted("0"), ShouldBeFalse)
		So(round.OnAccepted("0"), ShouldBeFalse)
		So(round.OnAccepted("1"), ShouldBeTrue)
	})
}
