package model

import (
	"fmt"
	"math/rand/v2"
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

func TestSetChanges(t *testing.T) {
	Convey("A set is restored exactly from its difference from another, wherever there is one", t, func() {
		random := rand.New(rand.NewPCG(40, 1))
		restored := 0
		for range 2000 {
			base, set := randomSet(random, 1), randomSet(random, 2)
			change, ok := set.ChangeFrom(base)
			if ok {
				restored++
				So(SetChangeFrom(change.Encoded()).Apply(base), ShouldResemble, set)
			}
		}
		So(restored, ShouldBeGreaterThan, 100)
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
