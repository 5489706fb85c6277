package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// repetitionWindow is how long a connection remembers an answer at least, to recognize it
// if the instance sends it again.
const repetitionWindow = time.Second

// sessionPoint is the content of a ready message.
type sessionPoint struct {
	state    byte
	position model.Position
}

func pointOf(ready lineproto.Message) sessionPoint {
	return sessionPoint{state: ready.State, position: ready.Position}
}

// answerSet describes answers that a connection has delivered.
type answerSet struct {
	// rowsByStamp maps the stamp of each answer to a hash of its rows.
	rowsByStamp map[string]uint64
	// points holds the ready messages, and firstRows the hashes of first rows.
	points    map[sessionPoint]bool
	firstRows map[uint64]bool
}

func (s *answerSet) add(received answer, ready lineproto.Message) {
	if s.points == nil {
		s.rowsByStamp, s.points, s.firstRows = map[string]uint64{}, map[sessionPoint]bool{}, map[uint64]bool{}
	}
	s.points[pointOf(ready)] = true
	if received.hasStamp() {
		s.rowsByStamp[received.result.Payload] = hashRows(received.rows)
	}
	if len(received.rows) > 0 {
		s.firstRows[hashRow(hashSeed, received.rows[0])] = true
	}
}

func (s *answerSet) clear() {
	clear(s.rowsByStamp)
	clear(s.points)
	clear(s.firstRows)
}

// answerHistory holds the answers that a connection has delivered within
// repetitionWindow, and some older ones: those since startedAt, and those of the window
// before.
type answerHistory struct {
	current, previous answerSet
	startedAt         time.Duration
}

// add records an answer, and forgets old ones.
func (h *answerHistory) add(received answer, ready lineproto.Message, now time.Duration) {
	if now-h.startedAt > repetitionWindow {
		h.previous.clear()
		h.current, h.previous = h.previous, h.current
		h.startedAt = now
	}
	h.current.add(received, ready)
}

// find returns the hash of the rows of the answer with a stamp.
func (h *answerHistory) find(stamp string) (rows uint64, found bool) {
	if rows, found = h.current.rowsByStamp[stamp]; found {
		return rows, true
	}
	rows, found = h.previous.rowsByStamp[stamp]
	return rows, found
}

// hasReady reports whether an answer ended with the same ready message.
func (h *answerHistory) hasReady(ready lineproto.Message) bool {
	point := pointOf(ready)
	return h.current.points[point] || h.previous.points[point]
}

// hasFirstRow reports whether an answer began with the same row.
func (h *answerHistory) hasFirstRow(row lineproto.Message) bool {
	hash := hashRow(hashSeed, row)
	return h.current.firstRows[hash] || h.previous.firstRows[hash]
}

// maxErrors is the number of different errors after which a connection is not used again.
const maxErrors = 16

// errorRecord is an error that a connection has delivered.
type errorRecord struct {
	payload string
	at      time.Duration
}

// errorHistory holds the errors of a connection that may still be repeated.
type errorHistory struct{ records []errorRecord }

func (h *errorHistory) add(payload string, now time.Duration) {
	h.records = append(h.records, errorRecord{payload: payload, at: now})
}

// forget drops the errors that can't be repeated any more, once a statement that was sent
// at the given time has been answered: an instance repeats an error within
// repetitionWindow, and the connection delivers what it sends in order, however late.
func (h *errorHistory) forget(sentAt time.Duration) {
	h.records = slices.DeleteFunc(h.records, func(record errorRecord) bool { return sentAt-record.at > repetitionWindow })
}

// has reports whether the same error may be repeated.
func (h *errorHistory) has(payload string) bool {
	return slices.ContainsFunc(h.records, func(record errorRecord) bool { return record.payload == payload })
}

func (h *errorHistory) isEmpty() bool { return len(h.records) == 0 }

func (h *errorHistory) isFull() bool { return len(h.records) >= maxErrors }

// Parameters of the 64-bit FNV-1a hash.
const (
	hashSeed  = uint64(14695981039346656037)
	hashPrime = uint64(1099511628211)
)

func hashRows(rows []lineproto.Message) uint64 {
	hash := hashSeed
	for _, row := range rows {
		hash = hashRow(hash, row)
	}
	return hash
}

// hashRow continues a hash with a row and its end.
func hashRow(hash uint64, row lineproto.Message) uint64 {
	for index := range len(row.Payload) {
		hash = (hash ^ uint64(row.Payload[index])) * hashPrime
	}
	return (hash ^ uint64('\n')) * hashPrime
}
