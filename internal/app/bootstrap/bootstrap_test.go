package bootstrap

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/state/model"
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

func TestAwaitStop(t *testing.T) {
	Convey("SIGTERM and SIGINT end the wait, SIGHUP before them reloads, and later signals stay in the queue", t, func() {
		for _, stop := range []os.Signal{syscall.SIGTERM, syscall.SIGINT} {
			signals := make(chan os.Signal, signalQueueSize)
			for _, sent := range []os.Signal{syscall.SIGHUP, syscall.SIGHUP, stop, syscall.SIGHUP} {
				signals <- sent
			}
			reloads := 0
			awaitStop(signals, func() { reloads++ })
			So(reloads, ShouldEqual, 2)
			So(len(signals), ShouldEqual, 1)
		}
	})
}
