package bootstrap

import (
	"os"
	"os/signal"
	"syscall"

	"tansyseam/internal/transport/worker"
)

// signals are the signals that the process has received and not handled yet. Stop
// signals and reload signals have a queue each, because the runtime drops a signal whose
// queue is full. A queue of one is enough: a second stop signal changes nothing, and a
// reload that has not begun covers all changes up to then.
type signals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

// listenForSignals starts to queue signals, so that those that arrive during the start
// of the daemon are handled after it.
func listenForSignals() signals {
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// close ends the queueing of signals.
func (s signals) close() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// awaitStop returns when a stop signal arrives. Until then a worker calls reload after
// each SIGHUP. A reload that hangs does not delay the return.
func (s signals) awaitStop(workers *worker.Group, reload func()) {
	stopped := make(chan struct{})
	defer close(stopped)
	workers.Go(func() { s.reloadUntil(stopped, reload) })
	<-s.stop
}

func (s signals) reloadUntil(stopped <-chan struct{}, reload func()) {
	for {
		if _, ok := worker.Receive(s.reload, stopped); !ok {
			return
		}
		reload()
	}
}
