package dataplane

import (
	"github.com/hashicorp/go-hclog"

	"tansyseam/internal/transport/worker"
)

// ReadinessLog logs and counts each change of a proxy's readiness. It is not safe
// for concurrent use.
type ReadinessLog struct {
	log      hclog.Logger
	counters *worker.Counters
	wasReady bool
}

// NewReadinessLog returns the readiness log of a proxy that is not yet ready.
func NewReadinessLog(log hclog.Logger, counters *worker.Counters) *ReadinessLog {
	return &ReadinessLog{log: log, counters: counters}
}

// Record records whether the proxy is ready now and, if not, the reason. It logs
// and counts only changes.
func (r *ReadinessLog) Record(ready bool, reason string) {
	if ready == r.wasReady {
		return
	}
	r.wasReady = ready
	r.counters.Add("ready_turns", 1)
	r.log.Info("readiness changed", "ready", ready, "reason", reason)
}
