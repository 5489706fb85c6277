package distribution

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// entries counts what the maps and lists of a value hold, also those behind
// pointers, but for the table, which is counted by itself.
func entries(value reflect.Value) int {
	kind := value.Kind()
	if value.Type() == reflect.TypeFor[*store.Table]() {
		return 0
	}
	if kind == reflect.Pointer && !value.IsNil() {
		return entries(value.Elem())
	}
	if kind == reflect.Map || kind == reflect.Slice {
		return value.Len()
	}
	count := 0
	if kind == reflect.Struct {
		for at := range value.NumField() {
			count += entries(value.Field(at))
		}
	}
	return count
}

func TestLongLife(t *testing.T) {
	routes := func(count, salt int) model.Set {
		set := model.Set{}
		for at := range count {
			set.Bindings = append(set.Bindings, model.Binding{Name: fmt.Sprintf("r-%d-%d", salt, at), Database: "db"})
		}
		return set
	}
	Convey("After hundreds of sets, calls and nodes that came and went, what is held is no more than after dozens", t, func() {
		d := newDesk(1, store.New())
		live := func(from, to int) (int, int) {
			for at := from; at < to; at++ {
				for one := range 3 {
					d.ask(fmt.Sprintf("d%d", at/2+one), d.held.Stamp)
				}
				d.write(Write{Build: func(held *store.Table) []store.Put {
					puts, _ := PutManifest(held, Manifest{Version: uint64(at + 1), Set: routes(3, at), Packed: []byte("raw"), Source: "operator"}, d.wall)
					return Keep(held, fmt.Sprint("call", at), Outcome{Status: 200, Path: "/v1/manifest/replace"}, puts)
				}, Done: func() {}})
				for range 5 {
					d.pass(2 * time.Second)
					d.settle()
				}
			}
			// Entries and kept calls have bounds, and tests, of their own.
			bounded := len(d.held.Keys(model.KeyEntry)) + len(d.held.Keys(model.KeyCall))
			return len(d.held.Records) - bounded, entries(reflect.ValueOf(d.Machine))
		}
		records, inside := live(0, 60)
		later, stillInside := live(60, 180)
		So(later, ShouldBeLessThanOrEqualTo, records+2)
		So(stillInside, ShouldBeLessThanOrEqualTo, inside+4)
		So(len(d.Doc().Sets), ShouldBeLessThanOrEqualTo, 3)
	})
	Convey("Thousands of routes, replaced one after the other, fit a disk of 128 MB many times over, with all versions that are kept", t, func() {
		d := newDesk(1, store.New())
		raw := bytes.Repeat([]byte("x"), 2<<20)
		most := 0
		for at := range 12 {
			d.ask("d1", store.Stamp{})
			d.write(Write{Build: func(held *store.Table) []store.Put {
				puts, _ := PutManifest(held, Manifest{Version: uint64(at + 1), Set: routes(8000, at), Packed: raw, Source: "operator"}, d.wall)
				return puts
			}, Done: func() {}})
			d.settle()
			most = max(most, len(store.Encode(*d.held)))
			d.pass(3 * time.Second)
			d.settle()
		}
		const versions = 5
		So(most*versions, ShouldBeLessThan, 128<<20)
	})
}

func TestBookedSetsUnderClockSteps(t *testing.T) {
	steps := [][]time.Duration{
		{3 * time.Second, -3 * time.Second}, {-4 * time.Second, 4 * time.Second},
		{2 * time.Second, 2 * time.Second, -5 * time.Second, time.Second}, {-time.Second, -time.Second, -time.Second, 3 * time.Second},
	}
	Convey("However the time of day steps while changes are booked, each lands once, in order, and none moves its moment before an earlier one's, also under another primary", t, func() {
		for _, jumps := range steps {
			for _, isTurned := range []bool{false, true} {
				d := newDesk(1, store.New())
				var want, got []string
				for at := range 6 {
					id := fmt.Sprintf("b%d", at)
					puts, _ := BookSet(d.held, id, d.wall+int64(time.Duration(2*at+2)*time.Second), []model.Binding{{Name: id, Database: "x"}}, d.wall)
					So(d.write(Write{Build: func(*store.Table) []store.Put { return puts }, Done: func() {}}), ShouldBeGreaterThan, 0)
					want = append(want, "booking "+id)
				}
				seen := uint64(0)
				for at := range 400 {
					if at%40 == 20 {
						d.wall += int64(jumps[at/40%len(jumps)])
					}
					if isTurned && at%100 == 60 {
						next := newDesk(d.Record().Epoch+1, d.held)
						next.now, next.wall = d.now, d.wall
						d = next
						d.pass(2 * time.Second)
					}
					d.ask("d1", d.held.Stamp)
					d.settle()
					d.pass(80 * time.Millisecond)
					moment := int64(0)
					for _, set := range d.Doc().Sets {
						if set.Sequence > seen {
							got, seen = append(got, set.Source), set.Sequence
						}
						So(set.Moment == 0 || set.Moment >= moment, ShouldBeTrue)
						moment = max(moment, set.Moment)
					}
				}
				So(slices.Clone(got), ShouldResemble, want)
			}
		}
	})
}
