package bootstrap

import (
	"fmt"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/state/model"
)

// Exit codes of the programs.
const (
	// ExitOK is the exit code after a shutdown on a signal, or after a check of
	// valid settings.
	ExitOK = 0
	// ExitFailure is the exit code if a program cannot start, or a query is not
	// answered in full.
	ExitFailure = 1
	// ExitBadConfig is the exit code if arguments, settings or a query are
	// invalid.
	ExitBadConfig = 2
	// ExitBadDataDir is the exit code if the daemon cannot be opened on its node.
	// For the control plane this means that its data directory cannot be used.
	ExitBadDataDir = 3
)

const (
	// fileCheckInterval is how often the configuration file is checked for
	// changes.
	fileCheckInterval = 500 * time.Millisecond
	// countersLogInterval is how often the counters are logged.
	countersLogInterval = 5 * time.Second
)

// Daemon is a program opened on a node.
type Daemon struct {
	// Start starts the daemon. It is called after the node has started.
	Start func() error
	// Drain finishes the work in flight before a shutdown.
	Drain func()
}

// OpenFunc opens a daemon on a node that has not started yet.
type OpenFunc func(*node.Node, config.Config) (Daemon, error)

// kinds is the kind of node of each program, as sent in messages between nodes.
var kinds = map[config.Program]string{config.Proxy: model.KindProxy, config.Control: model.KindControl}

// Main runs a daemon until a signal stops it, and returns the exit code.
func Main(program config.Program, args []string, open OpenFunc) int {
	signals := listenForSignals()
	defer signals.close()
	DisableEngineLog()
	cfg, err := config.Parse(program, args)
	if err != nil {
		reportInvalid(program, err)
		return ExitBadConfig
	}
	if cfg.CheckOnly {
		fmt.Printf("%s: settings are valid\n", program)
		return ExitOK
	}
	logger := newLogger(program, cfg)
	node, daemon, err := start(program, cfg, logger, open)
	if err != nil {
		logger.Error("cannot start", "error", err)
		return exitCode(err)
	}
	run(node, daemon, newReloader(program, args, node, logger), signals)
	logger.Info("final counters", "counts", node.Counters.Snapshot())
	node.Stop()
	return ExitOK
}

// reportInvalid writes each reason why a configuration is invalid on its own line.
func reportInvalid(program config.Program, err error) {
	for _, reason := range config.Reasons(err) {
		fmt.Fprintf(os.Stderr, "%s: %s\n", program, reason)
	}
}

// errNotOpened is returned when the daemon could not be opened.
const errNotOpened = errors.ConstError("daemon not opened")

// start opens the daemon on a new node and starts both. Its error is
// errNotOpened if the daemon could not be opened.
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

// run serves until a stop signal arrives, and then drains the daemon.
func run(node *node.Node, daemon Daemon, reloader *reloader, signals signals) {
	node.Workers.Loop(nil, fileCheckInterval, reloader.checkFile)
	node.Workers.Loop(nil, countersLogInterval, func() {
		reloader.logger.Debug("counters", "counts", node.Counters.Snapshot())
	})
	signals.awaitStop(node.Workers, func() { reloader.reload("signal") })
	daemon.Drain()
}
