package control

import (
	"time"

	"tansyseam/internal/coordination/consensus"
)

// startDiskWrite starts the gate's next disk task, if one is due and no other is
// running.
func (s *Server) startDiskWrite(now time.Duration) {
	task, due := s.gate.Next(now)
	if !due {
		return
	}
	s.runOnDisk(func() {
		startedAt := time.Now()
		err := consensus.RunDiskTask(s.store, task)
		s.node.Counters.Add("files_sync_us", time.Since(startedAt).Microseconds())
		s.enqueue(func() { s.onDiskWritten(err) })
	})
}

func (s *Server) onDiskWritten(err error) {
	s.recordDiskResult(err)
	now := s.node.Now()
	s.applyEffects(s.gate.Done(err == nil, now), now)
}

// recordDiskResult counts the result of a disk task, and logs when disk writes
// start to fail and when they succeed again.
func (s *Server) recordDiskResult(err error) {
	counter := "files_synced"
	if err != nil {
		counter = "files_refused"
	}
	s.node.Counters.Add(counter, 1)
	if failing := err != nil; failing != s.diskFailing {
		s.diskFailing = failing
		s.logger.Warn("disk write status changed", "failing", failing, "error", err)
	}
}
