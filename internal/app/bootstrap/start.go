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
	ExitGood     = 0
	ExitFault    = 1
	ExitSettings = 2
	ExitDisk     = 3
)

// Program is one of the two daemons, opened on a node.
type Program struct {
	// Start begins to act once the node can be met.
	Start func() error
	// Drain finishes what is under way.
	Drain func()
}

// Silent is a logger for the engine below, whose lines are not state changes.
type Silent struct{}

// SetLevel does nothing.
func (Silent) SetLevel(int) {}

// Debug drops a line.
func (Silent) Debug(string, ...any) {}

// Info drops a line.
func (Silent) Info(string, ...any) {}

// Warn drops a line.
func (Silent) Warn(string, ...any) {}

// Error drops a line.
func (Silent) Error(string, ...any) {}

// Main runs a daemon and gives its exit code.
func Main(program string, args []string, open func(*node.Node, config.Settings) (Program, error)) int {
	logging.SetLogger(Silent{})
	place, err := config.Parse(program, args)
	if err != nil {
		for _, line := range config.Faults(err) {
			fmt.Fprintln(os.Stderr, program+": "+line)
		}
		return ExitSettings
	}
	if place.IsCheck {
		fmt.Println(program + ": settings are good")
		return ExitGood
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name: program, Level: hclog.LevelFromString(place.LogLevel), JSONFormat: place.IsJSON, Output: os.Stderr,
	})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	node, err := node.New(program, place, log)
	if err != nil {
		log.Error("cannot start", "error", err)
		return ExitFault
	}
	made, err := open(node, place)
	if err != nil {
		log.Error("cannot start", "error", err)
		return ExitDisk
	}
	if err := node.Start(); err != nil {
		log.Error("cannot start", "error", err)
		return ExitFault
	}
	if err := made.Start(); err != nil {
		log.Error("cannot start", "error", err)
		return ExitFault
	}
	reloader := newReloader(program, args, node, log)
	ended := make(chan struct{})
	node.Crew.Loop(nil, 500*time.Millisecond, reloader.look)
	node.Crew.Loop(nil, 5*time.Second, func() { log.Debug("counters", "counts", node.Counts.Read()) })
	node.Crew.Go(func() {
		for {
			got, isIn := worker.Take(signals, node.Crew.Stopping())
			if !isIn {
				return
			}
			if got == syscall.SIGHUP {
				reloader.reload("signal")
				continue
			}
			made.Drain()
			close(ended)
			return
		}
	})
	<-ended
	log.Info("counters at the end", "counts", node.Counts.Read())
	node.Stop()
	return ExitGood
}

type reloader struct {
	program string
	flags   map[string]string
	node    *node.Node
	log     hclog.Logger
	print   string
}

func newReloader(program string, args []string, node *node.Node, log hclog.Logger) *reloader {
	return &reloader{
		program: program, flags: config.Flags(program, args), node: node, log: log, print: config.Fingerprint(node.Place().File),
	}
}

func (r *reloader) look() {
	file := r.node.Place().File
	if file == "" {
		return
	}
	if print := config.Fingerprint(file); print != r.print {
		r.print = print
		r.reload("file changed")
	}
}

func (r *reloader) reload(why string) {
	old := r.node.Place()
	r.print = config.Fingerprint(old.File)
	read, err := config.Load(r.program, old.File, r.flags)
	if err != nil {
		r.node.Counts.Add("settings_refused", 1)
		r.log.Warn("settings refused, the old ones stay in force", "why", why, "faults", config.Faults(err))
		return
	}
	live, fixed := config.Change(r.program, old, read)
	if len(fixed) > 0 {
		r.node.Counts.Add("settings_need_restart", 1)
		r.log.Warn("settings that need a restart stay as they were", "names", fixed)
	}
	if len(live) == 0 {
		return
	}
	r.node.Resettle(config.Adopt(r.program, old, read))
	r.log.SetLevel(hclog.LevelFromString(r.node.Place().LogLevel))
	r.node.Counts.Add("settings_taken", 1)
	r.log.Info("settings taken", "why", why, "names", live)
}
