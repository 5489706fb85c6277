package simulation

import "time"

// logWaiters holds the callbacks that wait for a log to grow.
type logWaiters struct{ waiting []func() }

// add registers wake to be called once, when the log grows or the time-out expires.
func (w *logWaiters) add(m *machine, timeout time.Duration, wake func()) {
	wake = once(wake)
	w.waiting = append(w.waiting, wake)
	m.after(timeout, wake)
}

// wakeAll calls all waiting callbacks.
func (w *logWaiters) wakeAll() {
	waiting := w.waiting
	w.waiting = nil
	for _, wake := range waiting {
		wake()
	}
}
