// Package idempotency is the machine by which a node knows what became of each go,
// and by which a repeat brought to any node joins the first or is told its
// outcome, so that none takes effect twice. A go's id is the id of the
// session it was first made in, a dot and a count; a session's id names the
// node that gave it out and that node's birth.
package idempotency

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tansyseam/internal/state/model"
)

// Standings of a go.
const (
	Never   = "never"
	Out     = "out"
	Kept    = "kept"
	Not     = "not_kept"
	Unknown = "unknown"
	Moved   = "moved"
)

// Ask asks a node what became of a go.
type Ask struct {
	Go string
	By string
}

// Answer tells it. Never also promises that the node will not run it.
type Answer struct {
	Standing string
	Rows     []byte
	Position model.Position
	To       string
}

// Legacy is the record that a node leaves when it stops in good order;
// without Goes and Scopes it tells only who the heir is.
type Legacy struct {
	Node   string
	Birth  string
	Heir   string
	Goes   map[string]Answer
	Scopes map[string]uint64
}

// LegacyTaken answers it.
type LegacyTaken struct{}

// Timing holds the machine's bounds.
type Timing struct {
	Keep time.Duration
	Most int
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing { return Timing{Keep: 3 * time.Minute, Most: 100000} }

type record struct {
	Answer
	at     time.Duration
	joined []any
}

type scope struct {
	pruned   uint64
	closedAt time.Duration
	isClosed bool
}

type legacy struct {
	heir   string
	goes   map[string]*record
	scopes map[string]*scope
}

// Machine is one node's record.
type Machine struct {
	self     string
	birth    string
	timing   Timing
	records  map[string]*record
	order    []string
	scopes   map[string]*scope
	legacies map[string]*legacy
	heirs    []string
	swept    time.Duration
}

// New makes the record of a node that starts.
func New(self, birth string, timing Timing) *Machine {
	return &Machine{
		self: self, birth: birth, timing: timing, records: map[string]*record{}, scopes: map[string]*scope{},
		legacies: map[string]*legacy{},
	}
}

// Session makes the id of a session by its number.
func (m *Machine) Session(number uint64) string {
	return fmt.Sprintf("%s~%s~%d", m.self, m.birth, number)
}

// Open notes a session.
func (m *Machine) Open(session string) { m.scopes[session] = &scope{} }

// Close notes that a session is closed; its goes are kept for a while.
func (m *Machine) Close(session string, now time.Duration) {
	if held, isHeld := m.scopes[session]; isHeld {
		held.isClosed, held.closedAt = true, now
	}
}

// Sweep forgets sessions long closed.
func (m *Machine) Sweep(now time.Duration) {
	if now-m.swept < time.Second {
		return
	}
	m.swept = now
	for id, held := range m.scopes {
		if held.isClosed && now-held.closedAt > m.timing.Keep {
			delete(m.scopes, id)
		}
	}
}

func split(id string) (session string, count uint64, isWhole bool) {
	at := strings.LastIndexByte(id, '.')
	if at <= 0 {
		return "", 0, false
	}
	count, err := strconv.ParseUint(id[at+1:], 10, 64)
	return id[:at], count, err == nil
}

func ownerOf(session string) (node, birth string) {
	parts := strings.Split(session, "~")
	if len(parts) != 3 {
		return "", ""
	}
	return parts[0], parts[1]
}

func isNever(scopes map[string]*scope, id string) bool {
	session, count, _ := split(id)
	held, isHeld := scopes[session]
	return isHeld && count > held.pruned
}

func (m *Machine) add(id, standing, to string, now time.Duration) {
	m.records[id] = &record{Answer: Answer{Standing: standing, To: to}, at: now}
	m.order = append(m.order, id)
	for len(m.order) > m.timing.Most || (len(m.order) > 0 && m.isStale(m.order[0], now)) {
		oldest := m.order[0]
		m.order = m.order[1:]
		delete(m.records, oldest)
		session, count, _ := split(oldest)
		if held, isHeld := m.scopes[session]; isHeld {
			held.pruned = max(held.pruned, count)
		}
	}
}

func (m *Machine) isStale(id string, now time.Duration) bool {
	held, isHeld := m.records[id]
	return !isHeld || (held.Standing != Out && now-held.at > m.timing.Keep)
}

// Kinds of decision.
const (
	// Run: it was never made, and is on record as out now.
	Run = "run"
	// Wait: its first is out here; the token was joined to it.
	Wait = "wait"
	// Tell: it has ended, as Answer says.
	Tell = "tell"
	// Seek: the node Target must be asked.
	Seek = "seek"
	// Bad: the id has not the right shape.
	Bad = "bad"
)

// Decision says what is to be done with a go that was brought here.
type Decision struct {
	Kind   string
	Target string
	Answer Answer
}

var unknown = Decision{Kind: Tell, Answer: Answer{Standing: Unknown}}

// Decide takes a go. The token is joined to its first where that is out.
func (m *Machine) Decide(id string, token any, now time.Duration) Decision {
	session, _, isWhole := split(id)
	if !isWhole {
		return Decision{Kind: Bad}
	}
	if held, isHeld := m.records[id]; isHeld {
		return m.join(held, token)
	}
	owner, birth := ownerOf(session)
	if owner == m.self && birth == m.birth {
		if !isNever(m.scopes, id) {
			return unknown
		}
		m.add(id, Out, "", now)
		return Decision{Kind: Run}
	}
	if left, isLeft := m.legacies[owner+"~"+birth]; isLeft {
		return Decision{Kind: Seek, Target: left.heir}
	}
	if owner == m.self || owner == "" {
		return unknown
	}
	return Decision{Kind: Seek, Target: owner}
}

func (m *Machine) join(held *record, token any) Decision {
	if held.Standing == Moved {
		return Decision{Kind: Seek, Target: held.To}
	}
	if held.Standing == Out {
		held.joined = append(held.joined, token)
		return Decision{Kind: Wait}
	}
	return Decision{Kind: Tell, Answer: held.Answer}
}

// BirthOf gives the birth of the node that gave out a go's session.
func BirthOf(id string) string {
	session, _, _ := split(id)
	_, birth := ownerOf(session)
	return birth
}

// IsFirst says whether a go was surely never made before: only then may a
// node that does not pass it on say that nothing was kept.
func (m *Machine) IsFirst(id string) bool {
	session, _, isWhole := split(id)
	owner, birth := ownerOf(session)
	_, isHeld := m.records[id]
	return isWhole && !isHeld && owner == m.self && birth == m.birth && isNever(m.scopes, id)
}

// Has says whether a go is on record.
func (m *Machine) Has(id string) bool {
	_, isHeld := m.records[id]
	return isHeld
}

// Heard goes on with what the node that was asked told.
func (m *Machine) Heard(id string, token any, answer Answer, now time.Duration) Decision {
	isOurs := answer.Standing == Never || (answer.Standing == Moved && answer.To == m.self)
	if isOurs {
		if held, isHeld := m.records[id]; isHeld && held.Standing != Moved {
			return m.join(held, token)
		}
		m.add(id, Out, "", now)
		return Decision{Kind: Run}
	}
	if answer.Standing == Moved {
		return Decision{Kind: Seek, Target: answer.To}
	}
	return Decision{Kind: Tell, Answer: answer}
}

// OnAsk answers another node that was brought a go. Where the go surely
// never came, it is given up to the asker for good.
func (m *Machine) OnAsk(ask Ask, now time.Duration) Answer {
	if held, isHeld := m.records[ask.Go]; isHeld {
		return held.Answer
	}
	session, _, _ := split(ask.Go)
	owner, birth := ownerOf(session)
	if owner == m.self && birth == m.birth {
		if !isNever(m.scopes, ask.Go) {
			return Answer{Standing: Unknown}
		}
		m.add(ask.Go, Moved, ask.By, now)
		return Answer{Standing: Never}
	}
	left, isHeir := m.legacies[owner+"~"+birth]
	if !isHeir || left.heir != m.self {
		return Answer{Standing: Unknown}
	}
	if held, isHeld := left.goes[ask.Go]; isHeld {
		return held.Answer
	}
	if !isNever(left.scopes, ask.Go) {
		return Answer{Standing: Unknown}
	}
	left.goes[ask.Go] = &record{Answer: Answer{Standing: Moved, To: ask.By}, at: now}
	return Answer{Standing: Never}
}

// Settle notes what became of a go and gives the tokens that joined it. A
// standing shown by proof is never changed; unknown may still be settled.
func (m *Machine) Settle(id, standing string, rows []byte, position model.Position, now time.Duration) ([]any, Answer) {
	held, isHeld := m.records[id]
	if !isHeld || held.Standing == Kept || held.Standing == Not {
		return nil, Answer{}
	}
	held.Answer, held.at = Answer{Standing: standing, Rows: rows, Position: position}, now
	joined := held.joined
	held.joined = nil
	return joined, held.Answer
}

// Leave gives the record for an heir. What is still out is unknown.
func (m *Machine) Leave(heir string) Legacy {
	left := Legacy{Node: m.self, Birth: m.birth, Heir: heir, Goes: map[string]Answer{}, Scopes: map[string]uint64{}}
	for id, held := range m.records {
		answer := held.Answer
		if answer.Standing == Out {
			answer.Standing = Unknown
		}
		left.Goes[id] = answer
	}
	for session, held := range m.scopes {
		left.Scopes[session] = held.pruned
	}
	return left
}

// Inherit takes another node's record, or word of who has it.
func (m *Machine) Inherit(left Legacy, now time.Duration) {
	held := &legacy{heir: left.Heir, goes: map[string]*record{}, scopes: map[string]*scope{}}
	for id, answer := range left.Goes {
		held.goes[id] = &record{Answer: answer, at: now}
	}
	for session, pruned := range left.Scopes {
		held.scopes[session] = &scope{pruned: pruned}
	}
	key := left.Node + "~" + left.Birth
	m.legacies[key] = held
	m.heirs = append(m.heirs, key)
	if len(m.heirs) > 64 {
		delete(m.legacies, m.heirs[0])
		m.heirs = m.heirs[1:]
	}
}
