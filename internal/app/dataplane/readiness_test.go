package dataplane

import (
	"bytes"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/transport/worker"
)

func TestReadinessLog(t *testing.T) {
	Convey("Each change of readiness, starting from unready, is logged and counted once", t, func() {
		output, counters := &bytes.Buffer{}, &worker.Counters{}
		readiness := NewReadinessLog(hclog.New(&hclog.LoggerOptions{Output: output, DisableTime: true}), counters)
		steps := []struct {
			ready       bool
			reason      string
			logged      string
			transitions int64
		}{
			{false, "no lease", "", 0},
			{true, "", "[INFO]  readiness changed: ready=true reason=\"\"\n", 1},
			{true, "", "", 1},
			{false, "stopping", "[INFO]  readiness changed: ready=false reason=stopping\n", 2},
			{false, "no lease", "", 2},
		}
		for _, step := range steps {
			output.Reset()
			readiness.Record(step.ready, step.reason)
			So(output.String(), ShouldEqual, step.logged)
			So(counters.Snapshot()["ready_turns"], ShouldEqual, step.transitions)
		}
	})
}
