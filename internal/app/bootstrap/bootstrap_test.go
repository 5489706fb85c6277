package bootstrap

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/worker"
)

var validArgs = []string{
	"--name", "d1", "--zone", "za", "--link", "127.0.0.1:1", "--door", "127.0.0.1:2", "--seeds", "127.0.0.1:1,127.0.0.1:3,127.0.0.1:4",
}

func TestExitCodes(t *testing.T) {
	Convey("An invalid configuration, a check of a valid one, and a daemon that cannot be opened each have a distinct exit code", t, func() {
		opened := 0
		open := func(*node.Node, config.Config) (Daemon, error) {
			opened++
			return Daemon{}, errors.New("no disk")
		}
		So(Main(config.Proxy, validArgs[:2], open), ShouldEqual, ExitBadConfig)
		So(Main(config.Proxy, append([]string{"--check"}, validArgs...), open), ShouldEqual, ExitOK)
		So(opened, ShouldEqual, 0)
		So(Main(config.Proxy, validArgs, open), ShouldEqual, ExitBadDataDir)
		So(opened, ShouldEqual, 1)
		So(exitCode(errors.New("address in use")), ShouldEqual, ExitFailure)
	})
}

// newTestReloader returns a proxy's node and reloader. The arguments are added to
// the required ones.
func newTestReloader(args ...string) (*node.Node, *reloader) {
	args = append(args, validArgs...)
	cfg, err := config.Parse(config.Proxy, args)
	So(err, ShouldBeNil)
	n, err := node.New(model.KindProxy, cfg, hclog.NewNullLogger())
	So(err, ShouldBeNil)
	return n, newReloader(config.Proxy, args, n, hclog.NewNullLogger())
}

func TestReload(t *testing.T) {
	Convey("A reload applies the reloadable settings of a changed file; flags take precedence, and an invalid file changes nothing", t, func() {
		file := filepath.Join(t.TempDir(), "settings.json")
		write := func(format string, arguments ...any) {
			So(os.WriteFile(file, fmt.Appendf(nil, format, arguments...), 0o600), ShouldBeNil)
		}
		write(`{"weight":1,"log_level":"info"}`)
		n, reloader := newTestReloader("--config", file, "--log-level=warn")

		reloader.checkFile()
		So(n.Counters.Snapshot(), ShouldBeEmpty)

		write(`{"weight":3,"log_level":"debug","log_json":true}`)
		reloader.checkFile()
		So(n.Config().Weight, ShouldEqual, 3)
		So(n.Config().LogLevel, ShouldEqual, "warn")
		So(n.Config().LogJSON, ShouldBeFalse)
		So(n.Counters.Snapshot(), ShouldResemble, map[string]int64{"settings_taken": 1, "settings_need_restart": 1})

		write(`{"weight":3000}`)
		reloader.checkFile()
		reloader.checkFile()
		So(n.Config().Weight, ShouldEqual, 3)
		So(n.Counters.Snapshot()["settings_refused"], ShouldEqual, 1)
	})
}

func TestReloadsDoNotOverlap(t *testing.T) {
	Convey("A change that a signal and the file check detect at the same time is applied once", t, func() {
		file := filepath.Join(t.TempDir(), "settings.json")
		write := func(weight int) {
			So(os.WriteFile(file, fmt.Appendf(nil, `{"weight":%d}`, weight), 0o600), ShouldBeNil)
		}
		write(1)
		n, reloader := newTestReloader("--config", file)
		const changes = 50
		for change := range changes {
			write(change + 2)
			var reloads sync.WaitGroup
			for _, triggerReload := range []func(){reloader.checkFile, func() { reloader.reload("signal") }} {
				reloads.Add(1)
				n.Workers.Go(func() {
					defer reloads.Done()
					triggerReload()
				})
			}
			reloads.Wait()
		}
		So(n.Counters.Snapshot()["settings_taken"], ShouldEqual, changes)
	})
}

const testTimeout = 30 * time.Second

// sendSignal sends a signal to this process.
func sendSignal(signal syscall.Signal) { So(syscall.Kill(os.Getpid(), signal), ShouldBeNil) }

// awaitStop runs signals.awaitStop in the background. It returns a channel that
// receives a value when awaitStop has returned.
func awaitStop(workers *worker.Group, signals signals, reload func()) chan bool {
	stopped := make(chan bool, 1)
	workers.Go(func() {
		signals.awaitStop(workers, reload)
		stopped <- true
	})
	return stopped
}

func TestAwaitStop(t *testing.T) {
	for _, stop := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		Convey("Each SIGHUP reloads, "+stop.String()+" ends the wait, and a later SIGHUP stays in the queue", t, func() {
			workers, signals := worker.NewGroup(), listenForSignals()
			defer signals.close()
			reloads := make(chan bool, 8)
			stopped := awaitStop(workers, signals, func() { reloads <- true })
			for range 3 {
				sendSignal(syscall.SIGHUP)
				So(worker.Await(reloads, testTimeout), ShouldBeTrue)
			}
			So(len(stopped), ShouldEqual, 0)
			sendSignal(stop)
			So(worker.Await(stopped, testTimeout), ShouldBeTrue)
			So(workers.Stop(testTimeout), ShouldBeTrue)
			sendSignal(syscall.SIGHUP)
			So(worker.Await(signals.reload, testTimeout), ShouldBeTrue)
			So(len(reloads), ShouldEqual, 0)
		})
	}
}

func TestStopSignalBesideReloads(t *testing.T) {
	// Guards against a SIGTERM that is dropped, or waits, because of SIGHUPs: the process
	// would be killed with all its sessions.
	Convey("A stop signal is not lost behind many SIGHUPs that arrive during the start", t, func() {
		workers, signals := worker.NewGroup(), listenForSignals()
		defer signals.close()
		for range 50 {
			sendSignal(syscall.SIGHUP)
			worker.Await(workers.Stopping(), time.Millisecond)
		}
		sendSignal(syscall.SIGTERM)
		stopped := awaitStop(workers, signals, func() {})
		So(worker.Await(stopped, testTimeout), ShouldBeTrue)
		So(workers.Stop(testTimeout), ShouldBeTrue)
	})
	Convey("A stop signal does not wait for a reload that hangs", t, func() {
		workers, signals := worker.NewGroup(), listenForSignals()
		defer signals.close()
		reloading, finish := make(chan bool, 8), make(chan bool)
		stopped := awaitStop(workers, signals, func() {
			reloading <- true
			<-finish
		})
		sendSignal(syscall.SIGHUP)
		So(worker.Await(reloading, testTimeout), ShouldBeTrue)
		sendSignal(syscall.SIGTERM)
		So(worker.Await(stopped, testTimeout), ShouldBeTrue)
		close(finish)
		So(workers.Stop(testTimeout), ShouldBeTrue)
	})
}
