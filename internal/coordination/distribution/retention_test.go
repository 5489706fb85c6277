package distribution

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/callresult"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// elements counts the elements of the maps and slices of a value, also behind pointers,
// except those of the control state.
func elements(value reflect.Value) int {
	kind := value.Kind()
	if value.Type() == reflect.TypeFor[*store.Table]() {
		return 0
	}
	if kind == reflect.Pointer && !value.IsNil() {
		return elements(value.Elem())
	}
	if kind == reflect.Map || kind == reflect.Slice {
		return value.Len()
	}
	count := 0
	if kind == reflect.Struct {
		for at := range value.NumField() {
			count += elements(value.Field(at))
		}
	}
	return count
}

func TestRetention(t *testing.T) {
	bindings := func(count, salt int) model.BindingSet {
		set := model.BindingSet{}
		for at := range count {
			set.Bindings = append(set.Bindings, model.Binding{Name: fmt.Sprintf("r-%d-%d", salt, at), Database: "db"})
		}
		return set
	}
	Convey("After hundreds of sets, calls and nodes that came and went, no more is stored than after dozens", t, func() {
		h := newHarness(1, store.New())
		live := func(from, to int) (int, int) {
			for at := from; at < to; at++ {
				for offset := range 3 {
					h.request(fmt.Sprintf("d%d", at/2+offset), h.stored.Version)
				}
				h.write(Write{Build: func(state *store.Table) []store.Put {
					puts, _ := rollout.AcceptManifest(state, rollout.Manifest{Version: uint64(at + 1), Set: bindings(3, at), Compressed: []byte("raw"), Source: "operator"}, h.wallNanos)
					return callresult.Record(state, fmt.Sprint("call", at), callresult.Result{Status: 200, Path: "/v1/manifest/replace"}, puts)
				}, Done: func() {}})
				for range 5 {
					h.advance(2 * time.Second)
					h.runWrites()
				}
			}
			// Audit entries and results of calls have bounds, and tests, of their own.
			bounded := len(h.stored.Keys(model.PrefixAuditEntry)) + len(h.stored.Keys(model.PrefixCallResult))
			return len(h.stored.Records) - bounded, elements(reflect.ValueOf(h.Machine))
		}
		records, inside := live(0, 60)
		later, stillInside := live(60, 180)
		So(later, ShouldBeLessThanOrEqualTo, records+2)
		So(stillInside, ShouldBeLessThanOrEqualTo, inside+4)
		So(len(h.Snapshot().Sets), ShouldBeLessThanOrEqualTo, 3)
	})
	Convey("Thousands of routes, replaced one after the other, fit a disk of 128 MB many times over, with all versions that are kept", t, func() {
		h := newHarness(1, store.New())
		text := bytes.Repeat([]byte("x"), 2<<20)
		most := 0
		for at := range 12 {
			h.request("d1", store.Version{})
			h.write(Write{Build: func(state *store.Table) []store.Put {
				puts, _ := rollout.AcceptManifest(state, rollout.Manifest{Version: uint64(at + 1), Set: bindings(8000, at), Compressed: text, Source: "operator"}, h.wallNanos)
				return puts
			}, Done: func() {}})
			h.runWrites()
			most = max(most, len(store.Encode(*h.stored)))
			h.advance(3 * time.Second)
			h.runWrites()
		}
		const versions = 5
		So(most*versions, ShouldBeLessThan, 128<<20)
	})
}

func TestScheduledChangesUnderClockSteps(t *testing.T) {
	steps := [][]time.Duration{
		{3 * time.Second, -3 * time.Second}, {-4 * time.Second, 4 * time.Second},
		{2 * time.Second, 2 * time.Second, -5 * time.Second, time.Second}, {-time.Second, -time.Second, -time.Second, 3 * time.Second},
	}
	Convey("However the time of day steps while changes are scheduled, each is accepted once, in order, and none takes effect before an earlier one, also under another primary", t, func() {
		for _, jumps := range steps {
			for _, restarts := range []bool{false, true} {
				h := newHarness(1, store.New())
				var want, got []string
				for at := range 6 {
					id := fmt.Sprintf("b%d", at)
					puts, _ := rollout.Schedule(h.stored, id, h.wallNanos+int64(time.Duration(2*at+2)*time.Second), []model.Binding{{Name: id, Database: "x"}}, h.wallNanos)
					So(h.put(puts...), ShouldBeGreaterThan, 0)
					want = append(want, "booking "+id)
				}
				seen := uint64(0)
				for at := range 400 {
					if at%40 == 20 {
						h.wallNanos += int64(jumps[at/40%len(jumps)])
					}
					if restarts && at%100 == 60 {
						next := newHarness(h.Record().Epoch+1, h.stored)
						next.now, next.wallNanos = h.now, h.wallNanos
						h = next
						h.advance(2 * time.Second)
					}
					h.request("d1", h.stored.Version)
					h.runWrites()
					h.advance(80 * time.Millisecond)
					effectiveAt := int64(0)
					for _, set := range h.Snapshot().Sets {
						if set.Sequence > seen {
							got, seen = append(got, set.Source), set.Sequence
						}
						So(set.EffectiveAt == 0 || set.EffectiveAt >= effectiveAt, ShouldBeTrue)
						effectiveAt = max(effectiveAt, set.EffectiveAt)
					}
				}
				So(slices.Clone(got), ShouldResemble, want)
			}
		}
	})
}
