package standin

import "sync"

// Event is one request of a caller, and its answer, as the caller saw them.
type Event struct {
	Caller      string `json:"caller"`
	Session     string `json:"session"`
	Address     string `json:"door"`
	Kind        string `json:"kind"`
	Binding     string `json:"binding"`
	Database    string `json:"database"`
	FreshnessMS int    `json:"fresh_ms"`
	RequestID   string `json:"go"`
	Text        string `json:"text"`
	// SentAt and AnsweredAt are in Unix nanoseconds.
	SentAt     int64    `json:"sent"`
	AnsweredAt int64    `json:"got"`
	Status     int      `json:"status"`
	Outcome    string   `json:"outcome"`
	Error      string   `json:"error,omitempty"`
	Position   Position `json:"position"`
	// AppliedPosition is what a read's instance had applied.
	AppliedPosition Position `json:"upto"`
	Sequence        uint64   `json:"sequence"`
	// RetryAfterMS is the wait that the answer asks for, in milliseconds.
	RetryAfterMS int64 `json:"retry_ms"`
	// Retry says that the request id was sent before.
	Retry bool `json:"again"`
	// RequestIDs are the ids of the writes inside a transaction.
	RequestIDs []string `json:"gos,omitempty"`
	// Settings are those that the statement's answer showed.
	Settings map[string]string `json:"settings,omitempty"`
	// ExpectedSetting is the setting that the session has, if any.
	ExpectedSetting string `json:"want_set,omitempty"`
	// ExecutedText is the text that the answer says was run.
	ExecutedText string `json:"ran_text,omitempty"`
	// DeadlineMS is the deadline that the request gave, in milliseconds.
	DeadlineMS int64 `json:"dead_ms"`
}

// History gathers events; it is safe for concurrent use.
type History struct {
	mutex  sync.Mutex
	events []Event
}

// Add adds an event.
func (h *History) Add(event Event) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.events = append(h.events, event)
}

// Events returns a copy of the events so far.
func (h *History) Events() []Event {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]Event(nil), h.events...)
}
