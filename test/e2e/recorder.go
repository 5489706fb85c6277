package e2e

import (
	"fmt"
	"time"
)

// Recorder holds what a scenario notes while it runs. It is used by one
// goroutine.
type Recorder struct {
	StartedAt time.Time
	// Notes are figures and events, with their time since the start.
	Notes []string
	// Failures are of checks that the scenario makes itself.
	Failures []string
}

// Logf records a figure or an event of the run, with its time.
func (r *Recorder) Logf(format string, arguments ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf("%6.2f s  ", time.Since(r.StartedAt).Seconds())+fmt.Sprintf(format, arguments...))
}

// Errorf records a failure of the run, which goes on.
func (r *Recorder) Errorf(format string, arguments ...any) {
	r.Failures = append(r.Failures, fmt.Sprintf(format, arguments...))
}
