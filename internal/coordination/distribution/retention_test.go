package distribution

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/callresult"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// countElements returns the number of elements in the maps and slices of a value, following
// pointers, but not counting the control state.
func countElements(value reflect.Value) int {
	kind := value.Kind()
	if value.Type() == reflect.TypeFor[*store.Table]() {
		return 0
	}
	if kind == reflect.Pointer && !value.IsNil() {
		return countElements(value.Elem())
	}
	if kind == reflect.Map || kind == reflect.Slice {
		return value.Len()
	}
	count := 0
	if kind == reflect.Struct {
		for index := range value.NumField() {
			count += countElements(value.Field(index))
		}
	}
	return count
}

func TestRetention(t *testing.T) {
	bindings := func(count, generation int) model.BindingSet {
		set := model.BindingSet{}
		for index := range count {
			set.Bindings = append(set.Bindings, model.Binding{Name: fmt.Sprintf("r-%d-%d", generation, index), Database: "db"})
		}
		return set
	}
	accept := func(h *harness, version int, set model.BindingSet, text []byte) []store.Put {
		manifest := rollout.Manifest{Version: uint64(version), Set: set, Compressed: text, Source: "operator"}
		puts, _ := rollout.AcceptManifest(h.stored, manifest, h.wallNanos)
		return puts
	}
	Convey("After 180 rounds of new sets, calls and nodes, hardly more is stored than after 60 rounds", t, func() {
		h := newHarness(1, store.New())
		runRounds := func(from, to int) {
			for index := from; index < to; index++ {
				for offset := range 3 {
					h.request(fmt.Sprintf("d%d", index/2+offset), h.stored.Version)
				}
				puts := accept(h, index+1, bindings(3, index), []byte("raw"))
				result := callresult.Result{Status: 200, Path: "/v1/manifest/replace"}
				h.put(callresult.Record(h.stored, fmt.Sprint("call", index), result, puts)...)
				for range 5 {
					h.advance(2 * time.Second)
					h.runWrites()
				}
			}
		}
		size := func() (records, inMemory int) {
			// Audit entries and call results have their own limits, which other tests check.
			bounded := len(h.stored.Keys(model.PrefixAuditEntry)) + len(h.stored.Keys(model.PrefixCallResult))
			return len(h.stored.Records) - bounded, countElements(reflect.ValueOf(h.Machine))
		}
		runRounds(0, 60)
		records, inMemory := size()
		runRounds(60, 180)
		laterRecords, laterInMemory := size()
		So(laterRecords, ShouldBeLessThanOrEqualTo, records+2)
		So(laterInMemory, ShouldBeLessThanOrEqualTo, inMemory+4)
		So(len(h.Snapshot().Sets), ShouldBeLessThanOrEqualTo, 3)
	})
	Convey("Five stored versions of a state whose thousands of bindings are replaced repeatedly fit a disk of 128 MB", t, func() {
		h := newHarness(1, store.New())
		text := bytes.Repeat([]byte("x"), 2<<20)
		maxEncodedSize := 0
		for index := range 12 {
			h.request("d1", store.Version{})
			h.put(accept(h, index+1, bindings(8000, index), text)...)
			h.runWrites()
			maxEncodedSize = max(maxEncodedSize, len(store.Encode(*h.stored)))
			h.advance(3 * time.Second)
			h.runWrites()
		}
		const versions = 5
		So(maxEncodedSize*versions, ShouldBeLessThan, 128<<20)
	})
}

func TestScheduledChangesUnderClockSteps(t *testing.T) {
	stepSequences := [][]time.Duration{
		{3 * time.Second, -3 * time.Second},
		{-4 * time.Second, 4 * time.Second},
		{2 * time.Second, 2 * time.Second, -5 * time.Second, time.Second},
		{-time.Second, -time.Second, -time.Second, 3 * time.Second},
	}
	Convey("If the wall clock steps or the primary changes while changes are scheduled, each change is accepted once and in order, and none takes effect before an earlier one", t, func() {
		for _, clockSteps := range stepSequences {
			for _, restarts := range []bool{false, true} {
				h := newHarness(1, store.New())
				want := scheduleChanges(h, 6)
				log := acceptanceLog{}
				for round := range 400 {
					if round%40 == 20 {
						h.wallNanos += int64(clockSteps[round/40%len(clockSteps)])
					}
					if restarts && round%100 == 60 {
						h = failOver(h)
					}
					h.request("d1", h.stored.Version)
					h.runWrites()
					h.advance(80 * time.Millisecond)
					log.add(h.Snapshot().Sets)
				}
				So(log.sources, ShouldResemble, want)
			}
		}
	})
}

// scheduleChanges schedules count changes two seconds apart, and returns the sources that
// their sets will have.
func scheduleChanges(h *harness, count int) []string {
	var sources []string
	for index := range count {
		id := fmt.Sprintf("b%d", index)
		effectiveAt := h.wallNanos + int64(time.Duration(2*index+2)*time.Second)
		puts, _ := rollout.Schedule(h.stored, id, effectiveAt, []model.Binding{{Name: id, Database: "x"}}, h.wallNanos)
		So(h.put(puts...), ShouldBeGreaterThan, 0)
		sources = append(sources, "booking "+id)
	}
	return sources
}

// failOver returns a new primary with the state and the clocks of the old one, advanced by
// two seconds.
func failOver(h *harness) *harness {
	next := newHarness(h.Record().Epoch+1, h.stored)
	next.now, next.wallNanos = h.now, h.wallNanos
	next.advance(2 * time.Second)
	return next
}

// acceptanceLog contains the sources of the sets in the order in which they were accepted.
type acceptanceLog struct {
	sources      []string
	lastSequence uint64
}

// add adds the sets that are new, and checks that the sets take effect in the order of
// their sequences.
func (l *acceptanceLog) add(sets []model.BindingSet) {
	effectiveAt := int64(0)
	for _, set := range sets {
		if set.Sequence > l.lastSequence {
			l.sources = append(l.sources, set.Source)
			l.lastSequence = set.Sequence
		}
		So(set.EffectiveAt == 0 || set.EffectiveAt >= effectiveAt, ShouldBeTrue)
		effectiveAt = max(effectiveAt, set.EffectiveAt)
	}
}
