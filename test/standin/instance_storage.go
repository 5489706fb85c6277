package standin

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
)

type persistentState struct {
	Role        string `json:"role"`
	Term        uint64 `json:"term"`
	Upstream    string `json:"upstream"`
	Incarnation string `json:"birth"`
}

func (x *Instance) saveState() {
	data, _ := json.Marshal(persistentState{x.role, x.term, x.upstream, x.incarnation})
	path := filepath.Join(x.config.Directory, "state.json")
	_ = os.WriteFile(path+".new", data, 0o644)
	_ = os.Rename(path+".new", path)
}

func (x *Instance) rewriteLog() error {
	if x.logFile != nil {
		_ = x.logFile.Close()
	}
	path := filepath.Join(x.config.Directory, "log.jsonl")
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
	x.logFile, err = os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o644)
	return err
}

func (x *Instance) appendEntry(entry Entry) {
	line, _ := json.Marshal(entry)
	_, _ = x.logFile.Write(append(line, '\n'))
	x.entries = append(x.entries, entry)
	close(x.appended)
	x.appended = make(chan struct{})
}
