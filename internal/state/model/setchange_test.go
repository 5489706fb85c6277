package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/store"
)

// randomSet returns a set with some of 12 bindings, whose values repeat now and then.
func randomSet(random *rand.Rand, sequence uint64) BindingSet {
	set := BindingSet{Sequence: sequence, Version: sequence, EffectiveAt: int64(random.IntN(3)), Source: "test"}
	for number := range 12 {
		if random.IntN(4) > 0 {
			set.Bindings = append(set.Bindings, Binding{Name: fmt.Sprint("b", number), Timeout: time.Duration(random.IntN(2)) * time.Second})
		}
	}
	for number := range 1 + random.IntN(2) {
		set.Databases = append(set.Databases, Database{Name: fmt.Sprint("db", number), MaxConnections: 4})
	}
	if random.IntN(6) == 0 {
		random.Shuffle(len(set.Bindings), func(i, j int) { set.Bindings[i], set.Bindings[j] = set.Bindings[j], set.Bindings[i] })
	}
	return set
}

// shouldHoldSameBindings compares two lists, of which an empty one may be nil.
func shouldHoldSameBindings(actual any, expected ...any) string {
	if slices.Equal(actual.([]Binding), expected[0].([]Binding)) {
		return ""
	}
	return fmt.Sprintf("%v differs from %v", actual, expected[0])
}

func TestSetChanges(t *testing.T) {
	Convey("A set is restored exactly from its difference from another, in whatever order its bindings are", t, func() {
		random := rand.New(rand.NewPCG(40, 1))
		for range 2000 {
			base, set := randomSet(random, 1), randomSet(random, 2)
			change, ok := set.ChangeFrom(base)
			So(ok, ShouldBeTrue)
			restored := SetChangeFrom(change.Encoded()).Apply(base)
			So(restored.Bindings, shouldHoldSameBindings, set.Bindings)
			restored.Bindings, set.Bindings = nil, nil
			So(restored, ShouldResemble, set)
		}
	})
	Convey("A binding that is inserted, moved or removed anywhere costs itself and a few ranges", t, func() {
		var base BindingSet
		for number := range 1000 {
			base.Bindings = append(base.Bindings, Binding{Name: fmt.Sprint("b", number), Timeout: time.Second})
		}
		changed := func(bindings []Binding) SetChange {
			change, ok := BindingSet{Sequence: 2, Bindings: bindings}.ChangeFrom(base)
			So(ok, ShouldBeTrue)
			So(len(change.Order), ShouldBeLessThanOrEqualTo, 4)
			return change
		}
		added := Binding{Name: "new"}
		So(changed(slices.Insert(slices.Clone(base.Bindings), 300, added)).Changed, ShouldResemble, []Binding{added})
		So(changed(slices.Delete(slices.Clone(base.Bindings), 300, 301)).Removed, ShouldResemble, []string{"b300"})
		moved := slices.Insert(slices.Delete(slices.Clone(base.Bindings), 300, 301), 700, base.Bindings[300])
		So(changed(moved).Changed, ShouldBeEmpty)
	})
	Convey("A set whose names occur twice has no difference, and ranges outside the list are ignored", t, func() {
		twice := BindingSet{Sequence: 2, Bindings: []Binding{{Name: "a"}, {Name: "a", Priority: 1}}}
		_, ok := twice.ChangeFrom(BindingSet{Sequence: 1})
		So(ok, ShouldBeFalse)
		damaged := SetChange{Order: []Range{{Start: -1, Count: 9}, {Start: 7, Count: -2}}}
		So(damaged.Apply(BindingSet{Bindings: []Binding{{Name: "a"}}}).Bindings, ShouldResemble, []Binding{{Name: "a"}})
	})
	Convey("A receiver restores each update, whatever sets it holds", t, func() {
		random := rand.New(rand.NewPCG(40, 2))
		differ := func(set, base BindingSet) (SetChange, bool) { return set.ChangeFrom(base) }
		for range 1000 {
			var complete, held Snapshot
			complete.Version, held.Version = store.Version{Epoch: 2, Sequence: 9}, store.Version{Epoch: 1, Sequence: 1}
			for sequence := range uint64(4) {
				set := randomSet(random, sequence+1)
				complete.Sets = append(complete.Sets, set)
				if random.IntN(2) == 0 {
					held.Sets = append(held.Sets, set)
				}
			}
			update := complete.WithChanges(held.Sets, differ)
			received, ok := held.Apply(SnapshotFrom(update.Encoded()))
			So(ok, ShouldBeTrue)
			So(received.Sets, ShouldResemble, complete.Sets)
			So(received.Version, ShouldResemble, complete.Version)
		}
	})
	Convey("An update whose base the receiver does not have is not applied", t, func() {
		base, set := BindingSet{Sequence: 1, Bindings: []Binding{{Name: "a"}}}, BindingSet{Sequence: 2, Bindings: []Binding{{Name: "b"}}}
		change, ok := set.ChangeFrom(base)
		So(ok, ShouldBeTrue)
		held := Snapshot{Version: store.Version{Sequence: 3}}
		received, ok := held.Apply(Snapshot{Version: store.Version{Sequence: 4}, Changes: []SetChange{change}})
		So(ok, ShouldBeFalse)
		So(received, ShouldResemble, held)
	})
	Convey("A delta removes the sets that the sender no longer stores, also those between others", t, func() {
		held := Snapshot{Version: store.Version{Sequence: 3}, Sets: []BindingSet{{Sequence: 1}, {Sequence: 2}, {Sequence: 3}}}
		delta := Snapshot{
			Version: store.Version{Sequence: 4}, BaseVersion: held.Version, FirstSequence: 1,
			Sets: []BindingSet{{Sequence: 4}}, Sequences: []uint64{1, 3, 4},
		}
		received, ok := held.Apply(delta)
		So(ok, ShouldBeTrue)
		So(received.Sets, ShouldResemble, []BindingSet{{Sequence: 1}, {Sequence: 3}, {Sequence: 4}})
	})
	Convey("Sets with other bindings or databases have other digests", t, func() {
		set := BindingSet{Bindings: []Binding{{Name: "a", Database: "bc"}}, Databases: []Database{{Name: "db"}}}
		digest := set.ContentDigest()
		scheduled := set
		scheduled.EffectiveAt = 7
		So(scheduled.ContentDigest(), ShouldEqual, digest)
		for _, other := range []BindingSet{
			{Bindings: []Binding{{Name: "ab", Database: "c"}}, Databases: set.Databases},
			{Bindings: []Binding{{Name: "a", Database: "bc", ReadYourWrites: true}}, Databases: set.Databases},
			{Bindings: set.Bindings, Databases: []Database{{Name: "db", MaxConnections: 1}}},
		} {
			So(other.ContentDigest(), ShouldNotEqual, digest)
		}
	})
}
