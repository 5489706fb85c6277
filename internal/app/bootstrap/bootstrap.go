// Package bootstrap is what both programs do from their arguments to their end:
// settings, logs, signals, reloads and exit codes.
package bootstrap

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lesismal/nbio/logging"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/transport/worker"
)

// Exit codes.
const (
	ExitOK         = 0
	ExitFailure    = 1
	ExitBadConfig  = 2
	ExitBadDataDir = 3
)

// Program is one of the two daemons, opened on a node.
type Daemon struct {
	// Start begins to act once the node can be met.
	Start func() error
	// Drain finishes what is under way.
	Drain func()
}

// Silent is a logger for the engine below, whose lines are not state changes.
type SilentLogger struct{}

// SetLevel does nothing.
func (SilentLogger) SetLevel(int) {}

// Debug drops a line.
func (SilentLogger) Debug(string, ...any) {}

// Info drops a line.
func (SilentLogger) Info(string, ...any) {}

// Warn drops a line.
func (SilentLogger) Warn(string, ...any) {}

// Error drops a line.
func (SilentLogger) Error(string, ...any) {}

// Main runs a daemon and gives its exit code.
func Main(program string, args []string, open func(*node.Node, config.Config) (Daemon, error)) int {
	logging.SetLogger(SilentLogger{})
	cfg, err := config.Parse(program, args)
	if err != nil {
		for _, line := range config.Reasons(err) {
			fmt.Fprintln(os.Stderr, program+": "+line)
		}
		return ExitBadConfig
	}
	if cfg.CheckOnly {
		fmt.Println(program + ": settings are good")
		return ExitOK
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name: program, Level: hclog.LevelFromString(cfg.LogLevel), JSONFormat: cfg.LogJSON, Output: os.Stderr,
	})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	node, err := node.New(program, cfg, logger)
	if err != nil {
		logger.Error("cannot start", "error", err)
		return ExitFailure
	}
	daemon, err := open(node, cfg)
	if err != nil {
		logger.Error("cannot start", "error", err)
		return ExitBadDataDir
	}
	if err := node.Start(); err != nil {
		logger.Error("cannot start", "error", err)
		return ExitFailure
	}
	if err := daemon.Start(); err != nil {
		logger.Error("cannot start", "error", err)
		return ExitFailure
	}
	reloader := newReloader(program, args, node, logger)
	drained := make(chan struct{})
	node.Workers.Loop(nil, 500*time.Millisecond, reloader.checkFile)
	node.Workers.Loop(nil, 5*time.Second, func() { logger.Debug("counters", "counts", node.Counters.Snapshot()) })
	node.Workers.Go(func() {
		for {
			received, ok := worker.Receive(signals, node.Workers.Stopping())
			if !ok {
				return
			}
			if received == syscall.SIGHUP {
				reloader.reload("signal")
				continue
			}
			daemon.Drain()
			close(drained)
			return
		}
	})
	<-drained
	logger.Info("counters at the end", "counts", node.Counters.Snapshot())
	node.Stop()
	return ExitOK
}

type reloader struct {
	program     string
	flagValues  map[string]string
	node        *node.Node
	logger      hclog.Logger
	fingerprint string
}

func newReloader(program string, args []string, node *node.Node, logger hclog.Logger) *reloader {
	return &reloader{
		program: program, flagValues: config.FlagValues(program, args), node: node, logger: logger, fingerprint: config.Fingerprint(node.Config().File),
	}
}

func (r *reloader) checkFile() {
	file := r.node.Config().File
	if file == "" {
		return
	}
	if fingerprint := config.Fingerprint(file); fingerprint != r.fingerprint {
		r.fingerprint = fingerprint
		r.reload("file changed")
	}
}

func (r *reloader) reload(why string) {
	old := r.node.Config()
	r.fingerprint = config.Fingerprint(old.File)
	loaded, err := config.Load(r.program, old.File, r.flagValues)
	if err != nil {
		r.node.Counters.Add("settings_refused", 1)
		r.logger.Warn("settings refused, the old ones stay in force", "why", why, "faults", config.Reasons(err))
		return
	}
	live, fixed := config.Diff(r.program, old, loaded)
	if len(fixed) > 0 {
		r.node.Counters.Add("settings_need_restart", 1)
		r.logger.Warn("settings that need a restart stay as they were", "names", fixed)
	}
	if len(live) == 0 {
		return
	}
	r.node.Reconfigure(config.ApplyLive(r.program, old, loaded))
	r.logger.SetLevel(hclog.LevelFromString(r.node.Config().LogLevel))
	r.node.Counters.Add("settings_taken", 1)
	r.logger.Info("settings taken", "why", why, "names", live)
}
