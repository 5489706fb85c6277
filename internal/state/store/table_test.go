package store

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRepairByDigests(t *testing.T) {
	Convey("A copy is mended from the newer by the ranges that are unlike, and only those", t, func() {
		newer := New()
		for at := range 300 {
			newer.Apply(Stamp{Epoch: 1, Sequence: uint64(at + 1)}, []Put{{Key: fmt.Sprintf("k/%d", at), Data: Encode(at)}})
		}
		older := newer.Clone()
		newer.Apply(Stamp{Epoch: 2, Sequence: 301}, []Put{{Key: "k/7", Data: Encode(-7)}, {Key: "k/8", IsGone: true}})
		older.Apply(Stamp{Epoch: 1, Sequence: 301}, []Put{{Key: "k/stray", Data: Encode(1)}})
		ranks := Differ(older.Digests(), newer.Digests())
		So(len(ranks), ShouldBeBetween, 0, 4)
		cut := newer.Cut(ranks)
		So(len(cut), ShouldBeLessThan, 100)
		older.Mend(newer.Stamp, ranks, cut)
		So(Differ(older.Digests(), newer.Digests()), ShouldBeEmpty)
		So(older.Stamp, ShouldResemble, newer.Stamp)
		value, isHeld := Get[int](older, "k/7")
		So(isHeld, ShouldBeTrue)
		So(value, ShouldEqual, -7)
		_, isHeld = Get[int](older, "k/stray")
		So(isHeld, ShouldBeFalse)
	})
	Convey("A record of another shape is no value", t, func() {
		held := New()
		held.Apply(Stamp{Epoch: 1, Sequence: 1}, []Put{{Key: "x", Data: []byte("garbage")}})
		_, isHeld := Get[int](held, "x")
		So(isHeld, ShouldBeFalse)
	})
}
