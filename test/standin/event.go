package standin

import "sync"

// Event is one request of a caller and its answer, as the caller recorded them.
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
	// SentAt and AnsweredAt are the times of the request and of its answer, in
	// Unix nanoseconds.
	SentAt     int64    `json:"sent"`
	AnsweredAt int64    `json:"got"`
	Status     int      `json:"status"`
	Outcome    string   `json:"outcome"`
	Error      string   `json:"error,omitempty"`
	Position   Position `json:"position"`
	// AppliedPosition is the position up to which the instance had applied its
	// log when it ran a read.
	AppliedPosition Position `json:"upto"`
	Sequence        uint64   `json:"sequence"`
	// RetryAfterMS is the wait before a retry that the answer asks for, in
	// milliseconds.
	RetryAfterMS int64 `json:"retry_ms"`
	// Retry is true if an earlier request had the same request id.
	Retry bool `json:"again"`
	// RequestIDs are the ids of the writes inside a transaction.
	RequestIDs []string `json:"gos,omitempty"`
	// Settings are the session settings that the statement's answer contained.
	Settings map[string]string `json:"settings,omitempty"`
	// ExpectedSetting is the value that the caller has set in the session, if
	// any.
	ExpectedSetting string `json:"want_set,omitempty"`
	// ExecutedText is the text that was run according to the answer.
	ExecutedText string `json:"ran_text,omitempty"`
	// DeadlineMS is the deadline of the request, in milliseconds.
	DeadlineMS int64 `json:"dead_ms"`
}

// History collects events. It is safe for concurrent use.
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
