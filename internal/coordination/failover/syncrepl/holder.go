package syncrepl

import (
	"time"

	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/state/model"
)

const forgetLooks = 2 * time.Minute

type episode struct {
	term          uint64
	phase, intent string
	since         int64
}

func episodeOf(writer model.Writer) episode {
	one := episode{term: writer.Term, phase: writer.Phase, intent: writer.Intent}
	if writer.Phase == model.PhaseClosing {
		one.since = writer.Since
	}
	return one
}

type look struct {
	seen  Seen
	at    time.Duration
	isOut bool
}

type attempt struct {
	call Call
	at   time.Duration
}

// evidence is what the holder saw of one database: looks last from episode to
// episode, but count as seen after the settling only within their own.
type evidence struct {
	episode  episode
	looks    map[string]*look
	attempts []*attempt
}

func (e *evidence) turn(to episode) {
	if e.episode == to {
		return
	}
	e.episode, e.attempts = to, nil
	for _, one := range e.looks {
		one.seen.IsAfter = false
	}
}

// Holder keeps what one control machine itself learned of the databases whose
// duty it holds, or held.
type Holder struct {
	self      string
	databases map[string]*evidence
}

// NewHolder makes one that has seen nothing.
func NewHolder(self string) *Holder {
	return &Holder{self: self, databases: map[string]*evidence{}}
}

func (h *Holder) of(database string) *evidence {
	held, isHeld := h.databases[database]
	if !isHeld {
		held = &evidence{looks: map[string]*look{}}
		h.databases[database] = held
	}
	return held
}

// Show gives the case with what the holder itself saw in it.
func (h *Holder) Show(at Case, now time.Duration) Case {
	held := h.of(at.Database)
	held.turn(episodeOf(at.Writer))
	at.Self, at.Seen, at.Calls = h.self, map[string]Seen{}, nil
	for name, one := range held.looks {
		if one.at == 0 {
			continue
		}
		if now-one.at > forgetLooks && !one.isOut {
			delete(held.looks, name)
			continue
		}
		seen := one.seen
		seen.Age = now - one.at
		at.Seen[name] = seen
	}
	for _, one := range held.attempts {
		call := one.call
		call.Age = now - one.at
		at.Calls = append(at.Calls, call)
	}
	return at
}

// Recorded takes in that a record which the holder asked for is kept; what
// Step gave after it is carried out then.
func (h *Holder) Recorded(record asyncrepl.Record) {
	h.of(record.Writer.Database).turn(episodeOf(record.Writer))
}

// Order takes in that an instance is given an order, and gives the function to
// be told what came of it, with the time: an empty Seen where nothing did. It
// gives nil while an order to the instance is under way.
func (h *Holder) Order(at Case, instance string) func(seen Seen, now time.Duration) {
	held := h.of(at.Database)
	one, isMet := held.looks[instance]
	if !isMet {
		one = &look{}
		held.looks[instance] = one
	}
	if one.isOut {
		return nil
	}
	one.isOut = true
	asked := held.episode
	return func(seen Seen, now time.Duration) {
		seen.IsAfter = at.IsSettled && held.episode == asked && episodeOf(at.Writer) == asked
		seen.Event, seen.Tenure = at.Event, at.Tenure
		one.isOut, one.at, one.seen = false, now, seen
	}
}

// Call takes in that the promote call is made, and gives the function to be
// told the status answered, and whether the call left this machine at all.
func (h *Holder) Call(call Promote, now time.Duration) func(status int, isUnsent bool) {
	held := h.of(call.Database)
	one := &attempt{call: Call{Instance: call.Instance, Fence: call.Fence}, at: now}
	held.attempts = append(held.attempts, one)
	return func(status int, isUnsent bool) { one.call.Status, one.call.IsUnsent = status, isUnsent }
}
