package store

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRepairByDigests(t *testing.T) {
	Convey("An older replica equals a newer one after only the differing key ranges are replaced", t, func() {
		newer := New()
		for number := range 300 {
			newer.Apply(Version{Epoch: 1, Sequence: uint64(number + 1)}, []Put{{Key: fmt.Sprintf("k/%d", number), Data: EncodePlain(number)}})
		}
		older := newer.Clone()
		newer.Apply(Version{Epoch: 2, Sequence: 301}, []Put{{Key: "k/7", Data: EncodePlain(-7)}, {Key: "k/8", Deleted: true}})
		older.Apply(Version{Epoch: 1, Sequence: 301}, []Put{{Key: "k/stray", Data: EncodePlain(1)}})
		ranges := DifferingRanges(older.Digests(), newer.Digests())
		So(len(ranges), ShouldBeBetween, 0, 4)
		records := newer.RecordsInRanges(ranges)
		So(len(records), ShouldBeLessThan, 100)
		older.ReplaceRanges(newer.Version, ranges, records)
		So(DifferingRanges(older.Digests(), newer.Digests()), ShouldBeEmpty)
		So(older.Version, ShouldResemble, newer.Version)
		value, found := GetPlain[int](older, "k/7")
		So(found, ShouldBeTrue)
		So(value, ShouldEqual, -7)
		_, found = GetPlain[int](older, "k/stray")
		So(found, ShouldBeFalse)
	})
	Convey("A record that cannot be decoded is reported as not found", t, func() {
		table := New()
		table.Apply(Version{Epoch: 1, Sequence: 1}, []Put{{Key: "x", Data: []byte("garbage")}})
		_, found := GetPlain[int](table, "x")
		So(found, ShouldBeFalse)
	})
}
