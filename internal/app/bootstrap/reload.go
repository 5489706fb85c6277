package bootstrap

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
)

// reloader applies changes of the configuration file to a running node.
type reloader struct {
	program config.Program
	// flagValues are those of the command line, which take precedence over the
	// file.
	flagValues map[string]string
	node       *node.Node
	logger     hclog.Logger

	// mutex has one reload end before the next: those on a signal and those on a
	// changed file are made by different goroutines.
	mutex sync.Mutex
	// fingerprint is that of the file when it was last read.
	fingerprint string
}

func newReloader(program config.Program, args []string, node *node.Node, logger hclog.Logger) *reloader {
	return &reloader{
		program: program, flagValues: config.FlagValues(program, args), node: node, logger: logger,
		fingerprint: config.Fingerprint(node.Config().File),
	}
}

// checkFile reloads the file if it has changed.
func (r *reloader) checkFile() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	file := r.node.Config().File
	if file == "" {
		return
	}
	if fingerprint := config.Fingerprint(file); fingerprint != r.fingerprint {
		r.reloadLocked("file changed")
	}
}

// reload applies the settings of the file that may change while the node runs.
// A file with any fault changes nothing. The trigger is named in the log.
func (r *reloader) reload(trigger string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reloadLocked(trigger)
}

// reloadLocked does the same for a caller that holds the mutex.
func (r *reloader) reloadLocked(trigger string) {
	old := r.node.Config()
	r.fingerprint = config.Fingerprint(old.File)
	loaded, err := config.Load(r.program, old.File, r.flagValues)
	if err != nil {
		r.node.Counters.Add("settings_refused", 1)
		r.logger.Warn("settings rejected, the old ones stay in force", "trigger", trigger, "reasons", config.Reasons(err))
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
	r.logger.Info("settings applied", "trigger", trigger, "names", live)
}
