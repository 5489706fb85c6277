package simulation

import "time"

// logWaiters are those who wait for a log to grow.
type logWaiters struct{ waiting []func() }

// add has a function called when the log grows, or after a time-out.
func (w *logWaiters) add(m *machine, timeout time.Duration, wake func()) {
	wake = once(wake)
	w.waiting = append(w.waiting, wake)
	m.after(timeout, wake)
}

// wakeAll tells all who wait that the log has grown.
func (w *logWaiters) wakeAll() {
	waiting := w.waiting
	w.waiting = nil
	for _, wake := range waiting {
		wake()
	}
}
