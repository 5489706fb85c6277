package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/test/golden"
)

// TestStatusJSON holds what operators are shown against what the build before
// the machine was split into files showed after the same events.
func TestStatusJSON(t *testing.T) {
	Convey("The status of instances and queues is written with the recorded keys and values", t, func() {
		r := newHarness(20)
		r.samplePosition()
		strict, stale, committing := r.client("strict"), r.client("stale"), r.client("strict")
		r.query(strict, write("1"))
		r.query(stale, read("2"))
		r.query(committing, begin())
		r.query(committing, write("3"))
		r.advance(25 * time.Millisecond)
		r.answerSend(r.nextSend(), lineproto.StateIdle, ok("w"))
		r.setWriter(model.PhaseClosing, "a", 3)
		r.query(strict, write("4"))
		r.advance(10 * time.Millisecond)
		instances, queues := r.Status(r.now)
		golden.Check(t, "status.json", golden.JSON(t, map[string]any{"instances": instances, "queues": queues}))
	})
}
