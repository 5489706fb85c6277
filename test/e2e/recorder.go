package e2e

import (
	"fmt"
	"time"
)

// Recorder collects the notes and failures of a scenario while it runs. Only one
// goroutine may use it.
type Recorder struct {
	StartedAt time.Time
	// Notes are measured values and events, each with the time since StartedAt.
	Notes []string
	// Failures are the failed checks of the scenario itself.
	Failures []string
}

// Logf records a measured value or an event of the run, with its time.
func (r *Recorder) Logf(format string, arguments ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf("%6.2f s  ", time.Since(r.StartedAt).Seconds())+fmt.Sprintf(format, arguments...))
}

// Errorf records a failure of the run. The run continues.
func (r *Recorder) Errorf(format string, arguments ...any) {
	r.Failures = append(r.Failures, fmt.Sprintf(format, arguments...))
}
