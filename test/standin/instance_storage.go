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

// maxLogLine is the maximum length of a line of the log file, in bytes.
const maxLogLine = 4 << 20

// persistentState is the content of the state file.
type persistentState struct {
	Role        string `json:"role"`
	Term        uint64 `json:"term"`
	Upstream    string `json:"upstream"`
	Incarnation string `json:"birth"`
}

// loadFiles restores the state and the log, and opens the log and execution
// files for appending.
func (i *Instance) loadFiles() error {
	if err := os.MkdirAll(i.config.Directory, 0o755); err != nil {
		return err
	}
	i.loadState()
	i.loadLog()
	if err := i.rewriteLog(); err != nil {
		return err
	}
	var err error
	i.executionLog, err = os.OpenFile(i.path(executionFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	i.saveState()
	return nil
}

func (i *Instance) path(name string) string { return filepath.Join(i.config.Directory, name) }

func (i *Instance) loadState() {
	data, err := os.ReadFile(i.path(stateFile))
	if err != nil {
		return
	}
	var loaded persistentState
	if json.Unmarshal(data, &loaded) == nil {
		i.role, i.term, i.upstream, i.incarnation = loaded.Role, loaded.Term, loaded.Upstream, loaded.Incarnation
	}
}

// loadLog reads entries up to the first line that is not a complete entry.
func (i *Instance) loadLog() {
	file, err := os.Open(i.path(logFile))
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
		i.entries = append(i.entries, entry)
	}
}

func (i *Instance) saveState() {
	data, _ := json.Marshal(persistentState{i.role, i.term, i.upstream, i.incarnation})
	path := i.path(stateFile)
	_ = os.WriteFile(path+".new", data, 0o644)
	_ = os.Rename(path+".new", path)
}

// rewriteLog replaces the log file with the entries in memory and opens it for
// appending.
func (i *Instance) rewriteLog() error {
	if i.log != nil {
		_ = i.log.Close()
	}
	path := i.path(logFile)
	var buffer bytes.Buffer
	for _, entry := range i.entries {
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
	i.log, err = os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o644)
	return err
}

func (i *Instance) appendEntry(entry Entry) {
	line, _ := json.Marshal(entry)
	_, _ = i.log.Write(append(line, '\n'))
	i.entries = append(i.entries, entry)
	close(i.appended)
	i.appended = make(chan struct{})
}

// saveDiscarded appends entries that replication has truncated to the file of
// discarded entries.
func (i *Instance) saveDiscarded(entries []Entry) {
	file, err := os.OpenFile(i.path(discardedFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	for _, entry := range entries {
		line, _ := json.Marshal(entry)
		_, _ = file.Write(append(line, '\n'))
	}
}
