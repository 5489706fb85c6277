package linepool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/test/golden"
)

// TestStatusJSON compares the status that is shown to operators with a
// recording. The recording was made by the build before the machine was split
// into files, after the same events.
func TestStatusJSON(t *testing.T) {
	Convey("The JSON status of instances and queues has the recorded keys and values", t, func() {
		h := newHarness(20)
		h.samplePosition()
		strict, stale, committing := h.client("strict"), h.client("stale"), h.client("strict")
		h.query(strict, write("1"))
		h.query(stale, read("2"))
		h.query(committing, begin())
		h.query(committing, write("3"))
		h.advance(25 * time.Millisecond)
		h.answerSend(h.nextSend(), lineproto.StateIdle, done("w"))
		h.setWriter(model.PhaseClosing, "a", 3)
		h.query(strict, write("4"))
		h.advance(10 * time.Millisecond)
		instances, queues := h.Status(h.now)
		golden.Check(t, "status.json", golden.JSON(t, map[string]any{"instances": instances, "queues": queues}))
	})
}
