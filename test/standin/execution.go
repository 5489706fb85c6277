package standin

import (
	"encoding/json"
	"time"
)

// Execution is one statement that an instance ran.
type Execution struct {
	At           int64             `json:"at"`
	Instance     string            `json:"instance"`
	Database     string            `json:"database,omitempty"`
	Connection   string            `json:"conn"`
	Transaction  string            `json:"turn"`
	Action       string            `json:"act,omitempty"`
	Text         string            `json:"text"`
	Arguments    []string          `json:"arguments,omitempty"`
	RequestID    string            `json:"go"`
	Write        bool              `json:"write"`
	Settings     map[string]string `json:"settings,omitempty"`
	Prepared     []string          `json:"prepared,omitempty"`
	Term         uint64            `json:"term"`
	Role         string            `json:"role"`
	LeavingSince int64             `json:"leaving,omitempty"`
}

func (x *Instance) recordExecution(c *connection, request instanceRequest, text string) {
	execution := Execution{
		At: time.Now().UnixNano(), Instance: x.config.Name, Database: x.config.Database, Connection: c.id, Text: text, Arguments: request.Arguments, RequestID: request.RequestID,
		Action: request.Action, Write: request.Write, Term: x.term, Role: x.role, LeavingSince: x.leavingSince,
	}
	if c.transaction != nil {
		execution.Transaction = c.transaction.id
	}
	if len(c.settings) > 0 {
		execution.Settings = map[string]string{}
		for name, value := range c.settings {
			execution.Settings[name] = value
		}
	}
	for name := range c.prepared {
		execution.Prepared = append(execution.Prepared, name)
	}
	line, _ := json.Marshal(execution)
	_, _ = x.executionFile.Write(append(line, '\n'))
}
