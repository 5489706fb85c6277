package bootstrap

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/state/model"
)

// Exit codes of the programs.
const (
	// ExitOK is given after a shutdown on a signal, or a check of settings that
	// are good.
	ExitOK = 0
	// ExitFailure is given where a program cannot start, or a query is not
	// answered in full.
	ExitFailure = 1
	// ExitBadConfig is given where arguments, settings or a query cannot be
	// used.
	ExitBadConfig = 2
	// ExitBadDataDir is given where the program cannot be opened on its node: for
	// the control plane, where its data directory cannot be used.
	ExitBadDataDir = 3
)

const (
	// signalQueueSize is how many signals may wait to be handled.
	signalQueueSize = 4
	// fileCheckInterval is how often the configuration file is looked at.
	fileCheckInterval = 500 * time.Millisecond
	// countersLogInterval is how often the counters are logged.
	countersLogInterval = 5 * time.Second
)

// Daemon is a program that was opened on a node.
type Daemon struct {
	// Start begins to act; the node was started before.
	Start func() error
	// Drain finishes what is in flight.
	Drain func()
}

// OpenFunc opens a daemon on a node that has not started yet.
type OpenFunc func(*node.Node, config.Config) (Daemon, error)

// kinds are the kinds of node that the programs run, as the nodes name them to
// each other.
var kinds = map[config.Program]string{config.Proxy: model.KindProxy, config.Control: model.KindControl}

// Main runs a daemon until a signal stops it, and gives its exit code.
func Main(program config.Program, args []string, open OpenFunc) int {
	DisableEngineLog()
	cfg, err := config.Parse(program, args)
	if err != nil {
		reportInvalid(program, err)
		return ExitBadConfig
	}
	if cfg.CheckOnly {
		fmt.Printf("%s: settings are good\n", program)
		return ExitOK
	}
	logger := newLogger(program, cfg)
	// Signals that come during the start wait until it is over.
	signals := make(chan os.Signal, signalQueueSize)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	node, daemon, err := start(program, cfg, logger, open)
	if err != nil {
		logger.Error("cannot start", "error", err)
		return exitCode(err)
	}
	run(node, daemon, newReloader(program, args, node, logger), signals)
	logger.Info("counters at the end", "counts", node.Counters.Snapshot())
	node.Stop()
	return ExitOK
}

// reportInvalid writes each reason against a configuration on a line.
func reportInvalid(program config.Program, err error) {
	for _, reason := range config.Reasons(err) {
		fmt.Fprintf(os.Stderr, "%s: %s\n", program, reason)
	}
}

// errNotOpened says that the daemon could not be opened.
const errNotOpened = errors.ConstError("daemon not opened")

// start opens the daemon on a new node and starts both. Its error is
// errNotOpened where the daemon could not be opened.
func start(program config.Program, cfg config.Config, logger hclog.Logger, open OpenFunc) (*node.Node, Daemon, error) {
	node, err := node.New(kinds[program], cfg, logger)
	if err != nil {
		return nil, Daemon{}, errors.Trace(err)
	}
	daemon, err := open(node, cfg)
	if err != nil {
		return nil, Daemon{}, errors.WithType(err, errNotOpened)
	}
	if err := node.Start(); err != nil {
		return nil, Daemon{}, errors.Trace(err)
	}
	if err := daemon.Start(); err != nil {
		return nil, Daemon{}, errors.Trace(err)
	}
	return node, daemon, nil
}

func exitCode(err error) int {
	if errors.Is(err, errNotOpened) {
		return ExitBadDataDir
	}
	return ExitFailure
}

// run serves until a signal to stop has come and the daemon is drained.
func run(node *node.Node, daemon Daemon, reloader *reloader, signals <-chan os.Signal) {
	node.Workers.Loop(nil, fileCheckInterval, reloader.checkFile)
	node.Workers.Loop(nil, countersLogInterval, func() {
		reloader.logger.Debug("counters", "counts", node.Counters.Snapshot())
	})
	awaitStop(signals, func() { reloader.reload("signal") })
	daemon.Drain()
}

// awaitStop returns once a signal to stop has come, and reloads on each SIGHUP
// before.
func awaitStop(signals <-chan os.Signal, reload func()) {
	for received := range signals {
		if received != syscall.SIGHUP {
			return
		}
		reload()
	}
}
