package standin

import (
	"encoding/json"
	"maps"
	"time"
)

// Execution is the record of a statement, a commit or a promotion that an
// instance carried out.
type Execution struct {
	// At is the time of the execution, in Unix nanoseconds.
	At          int64             `json:"at"`
	Instance    string            `json:"instance"`
	Database    string            `json:"database,omitempty"`
	Connection  string            `json:"conn"`
	Transaction string            `json:"turn"`
	Action      string            `json:"act,omitempty"`
	Text        string            `json:"text"`
	Arguments   []string          `json:"arguments,omitempty"`
	RequestID   string            `json:"go"`
	Write       bool              `json:"write"`
	Settings    map[string]string `json:"settings,omitempty"`
	Prepared    []string          `json:"prepared,omitempty"`
	Term        uint64            `json:"term"`
	Role        string            `json:"role"`
	// LeavingSince is the time at which the instance began to announce that it
	// is leaving, in Unix nanoseconds, or 0 if it is not leaving.
	LeavingSince int64 `json:"leaving,omitempty"`
}

// recordExecution appends a record to the execution file. The caller must hold
// mutex.
func (i *Instance) recordExecution(c *connection, request instanceRequest, text string) {
	execution := Execution{
		At: time.Now().UnixNano(), Instance: i.config.Name, Database: i.config.Database, Connection: c.id, Text: text,
		Arguments: request.Arguments, RequestID: request.RequestID, Action: request.Action, Write: request.Write, Term: i.term, Role: i.role, LeavingSince: i.leavingSince,
	}
	if c.transaction != nil {
		execution.Transaction = c.transaction.id
	}
	if len(c.settings) > 0 {
		execution.Settings = maps.Clone(c.settings)
	}
	for name := range c.prepared {
		execution.Prepared = append(execution.Prepared, name)
	}
	line, _ := json.Marshal(execution)
	_, _ = i.executionLog.Write(append(line, '\n'))
}
