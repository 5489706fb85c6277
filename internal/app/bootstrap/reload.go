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
	// flagValues are the settings given on the command line. They take
	// precedence over the file.
	flagValues map[string]string
	node       *node.Node
	logger     hclog.Logger

	// mutex serializes reloads, because different goroutines reload on a signal
	// and on a changed file.
	mutex sync.Mutex
	// fingerprint is the digest of the file when it was last read.
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

// reload applies those settings of the file that can change while the node runs.
// An invalid file changes nothing. The trigger appears in the log.
func (r *reloader) reload(trigger string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reloadLocked(trigger)
}

// reloadLocked does the work of reload. The caller holds the mutex.
func (r *reloader) reloadLocked(trigger string) {
	old := r.node.Config()
	r.fingerprint = config.Fingerprint(old.File)
	loaded, err := config.Load(r.program, old.File, r.flagValues)
	if err != nil {
		r.node.Counters.Add("settings_refused", 1)
		r.logger.Warn("settings rejected; keeping the current settings", "trigger", trigger, "reasons", config.Reasons(err))
		return
	}
	live, needRestart := config.Diff(r.program, old, loaded)
	if len(needRestart) > 0 {
		r.node.Counters.Add("settings_need_restart", 1)
		r.logger.Warn("changed settings need a restart; keeping their current values", "names", needRestart)
	}
	if len(live) == 0 {
		return
	}
	r.node.Reconfigure(config.ApplyLive(r.program, old, loaded))
	r.logger.SetLevel(hclog.LevelFromString(r.node.Config().LogLevel))
	r.node.Counters.Add("settings_taken", 1)
	r.logger.Info("settings applied", "trigger", trigger, "names", live)
}
