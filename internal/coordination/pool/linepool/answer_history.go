package linepool

import "time"

// repetitionWindow is how long a connection remembers an answer, to recognize it if the
// instance sends it again.
const repetitionWindow = time.Second

// answerRecord describes one answer that a connection has delivered.
type answerRecord struct {
	stamp string
	at    time.Duration
}

// answerHistory holds the answers that a connection has delivered within
// repetitionWindow, in order.
type answerHistory struct{ records []answerRecord }

func (h *answerHistory) contains(stamp string) bool {
	for index := len(h.records) - 1; index >= 0; index-- {
		if h.records[index].stamp == stamp {
			return true
		}
	}
	return false
}

// add records an answer, and forgets those that are older than repetitionWindow.
func (h *answerHistory) add(stamp string, now time.Duration) {
	expired := 0
	for expired < len(h.records) && now-h.records[expired].at > repetitionWindow {
		expired++
	}
	kept := copy(h.records, h.records[expired:])
	h.records = append(h.records[:kept], answerRecord{stamp: stamp, at: now})
}
