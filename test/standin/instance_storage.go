package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
)

// Names of an instance's files in its directory.
const (
	stateFile     = "state.json"
	logFile       = "log.jsonl"
	executionFile = "ran.jsonl"
	discardedFile = "discarded.jsonl"
)

// maxLogLine bounds one line of the log file, in bytes.
const maxLogLine = 4 << 20

// persistentState is the state file.
type persistentState struct {
	Role        string `json:"role"`
	Term        uint64 `json:"term"`
	Upstream    string `json:"upstream"`
	Incarnation string `json:"birth"`
}

// loadFiles restores state and log, and opens the files that are appended to.
func (x *Instance) loadFiles() error {
	if err := os.MkdirAll(x.config.Directory, 0o755); err != nil {
		return err
	}
	x.loadState()
	x.loadLog()
	if err := x.rewriteLog(); err != nil {
		return err
	}
	var err error
	x.executionLog, err = os.OpenFile(x.path(executionFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	x.saveState()
	return nil
}

func (x *Instance) path(name string) string { return filepath.Join(x.config.Directory, name) }

func (x *Instance) loadState() {
	data, err := os.ReadFile(x.path(stateFile))
	if err != nil {
		return
	}
	var loaded persistentState
	if json.Unmarshal(data, &loaded) == nil {
		x.role, x.term, x.upstream, x.incarnation = loaded.Role, loaded.Term, loaded.Upstream, loaded.Incarnation
	}
}

// loadLog reads entries up to the first line that is torn.
func (x *Instance) loadLog() {
	file, err := os.Open(x.path(logFile))
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var entry Entry
		if json.Unmarshal(lines.Bytes(), &entry) != nil {
			return
		}
		x.entries = append(x.entries, entry)
	}
}

func (x *Instance) saveState() {
	data, _ := json.Marshal(persistentState{x.role, x.term, x.upstream, x.incarnation})
	path := x.path(stateFile)
	_ = os.WriteFile(path+".new", data, 0o644)
	_ = os.Rename(path+".new", path)
}

// rewriteLog replaces the log file by the entries in memory.
func (x *Instance) rewriteLog() error {
	if x.log != nil {
		_ = x.log.Close()
	}
	path := x.path(logFile)
	var buffer bytes.Buffer
	for _, entry := range x.entries {
		line, _ := json.Marshal(entry)
		buffer.Write(append(line, '\n'))
	}
	if err := os.WriteFile(path+".new", buffer.Bytes(), 0o644); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	var err error
	x.log, err = os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o644)
	return err
}

func (x *Instance) appendEntry(entry Entry) {
	line, _ := json.Marshal(entry)
	_, _ = x.log.Write(append(line, '\n'))
	x.entries = append(x.entries, entry)
	close(x.appended)
	x.appended = make(chan struct{})
}

// saveDiscarded appends entries that replication has cut off.
func (x *Instance) saveDiscarded(entries []Entry) {
	file, err := os.OpenFile(x.path(discardedFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	for _, entry := range entries {
		line, _ := json.Marshal(entry)
		_, _ = file.Write(append(line, '\n'))
	}
}
