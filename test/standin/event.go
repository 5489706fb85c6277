package standin

import "sync"

// Event is one request of a caller as the caller saw it.
type Event struct {
	Caller          string   `json:"caller"`
	Session         string   `json:"session"`
	Address         string   `json:"door"`
	Kind            string   `json:"kind"`
	Binding         string   `json:"binding"`
	Database        string   `json:"database"`
	FreshnessMS     int      `json:"fresh_ms"`
	RequestID       string   `json:"go"`
	Text            string   `json:"text"`
	SentAt          int64    `json:"sent"`
	AnsweredAt      int64    `json:"got"`
	Status          int      `json:"status"`
	Outcome         string   `json:"outcome"`
	Error           string   `json:"error,omitempty"`
	Position        Position `json:"position"`
	AppliedPosition Position `json:"upto"`
	Sequence        uint64   `json:"sequence"`
	RetryAfterMS    int64    `json:"retry_ms"`
	Retry           bool     `json:"again"`
	// RequestIDs are the go ids of the writes inside a transaction.
	RequestIDs []string `json:"gos,omitempty"`
	// Settings are those that the statement's answer showed.
	Settings        map[string]string `json:"settings,omitempty"`
	ExpectedSetting string            `json:"want_set,omitempty"`
	// ExecutedText is the text that the answer says was run.
	ExecutedText string `json:"ran_text,omitempty"`
	DeadlineMS   int64  `json:"dead_ms"`
}

// History gathers events.
type History struct {
	mutex  sync.Mutex
	events []Event
}

// Add notes an event.
func (h *History) Add(event Event) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.events = append(h.events, event)
}

// Events copies what was noted.
func (h *History) Events() []Event {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]Event(nil), h.events...)
}
