package consensus

import (
	"reflect"
	"slices"
	"time"
)

// Pause is how long after a refusal the same work is given to the disk again.
const Pause = 100 * time.Millisecond

type held struct {
	effect Effect
	after  uint64
}

type task struct {
	effect Effect
	number uint64
}

// Gate holds each effect back until what it rests on is synced, so that the
// machine can go on while its disk is at work, hangs or refuses. Saves are
// carried out one at a time, in order; one that was refused is tried again.
type Gate struct {
	tasks  []task
	held   []held
	issued uint64
	synced uint64
	// votes is the last save that votes rest on.
	votes uint64
	isOut bool
	since time.Duration
	again time.Duration
}

func restless(*Gate) uint64     { return 0 }
func onBallots(g *Gate) uint64  { return g.votes }
func onAllFiles(g *Gate) uint64 { return g.issued }

// What votes, grants and news of epochs rest on; all else rests on all files.
var rests = map[reflect.Type]func(*Gate) uint64{
	reflect.TypeFor[AskStanding](): restless,
	reflect.TypeFor[Leaving]():     restless,
	reflect.TypeFor[Released]():    onBallots,
	reflect.TypeFor[Join]():        onBallots,
	reflect.TypeFor[Standing]():    onBallots,
	reflect.TypeFor[Form]():        onBallots,
	reflect.TypeFor[FormAck]():     onBallots,
	reflect.TypeFor[Formed]():      onBallots,
	reflect.TypeFor[Renew]():       onBallots,
	reflect.TypeFor[RenewAck]():    onBallots,
	reflect.TypeFor[Prepare]():     onBallots,
	reflect.TypeFor[Promised]():    onBallots,
	reflect.TypeFor[Accept]():      onBallots,
	reflect.TypeFor[Accepted]():    onBallots,
	reflect.TypeFor[Decided]():     onBallots,
}

func (g *Gate) after(effect Effect) uint64 {
	if answer, isAnswer := effect.(Answer); isAnswer && !answer.IsKept {
		return 0
	}
	if send, isSend := effect.(Send); isSend {
		if rest, isKnown := rests[kindOf(send.Body)]; isKnown {
			return rest(g)
		}
	}
	return onAllFiles(g)
}

// Pass takes a step's effects and gives those that may be carried out at once.
func (g *Gate) Pass(effects []Effect, now time.Duration) []Effect {
	var free []Effect
	for _, effect := range effects {
		_, isClean := effect.(Clean)
		save, isSave := effect.(Save)
		if isClean || isSave {
			g.queue(effect, save.Kind, now)
			continue
		}
		after := g.after(effect)
		if after <= g.synced {
			free = append(free, effect)
			continue
		}
		g.hold(held{effect: effect, after: after})
	}
	return free
}

func (g *Gate) queue(effect Effect, kind string, now time.Duration) {
	if len(g.tasks) == 0 {
		g.since = now
	}
	g.issued++
	if kind != FileTable {
		g.votes = g.issued
	}
	last := len(g.tasks) - 1
	isWaiting := last > 0 || (last == 0 && !g.isOut)
	if isWaiting && kind != "" {
		if save, isSave := g.tasks[last].effect.(Save); isSave && save.Kind == kind {
			g.tasks[last] = task{effect: effect, number: g.issued}
			return
		}
	}
	g.tasks = append(g.tasks, task{effect: effect, number: g.issued})
}

// hold keeps one message of a type to each machine, the last: the link may
// lose any, and a hanging disk must not fill the memory.
func (g *Gate) hold(next held) {
	if send, isSend := next.effect.(Send); isSend {
		g.held = slices.DeleteFunc(g.held, func(other held) bool {
			old, isSend := other.effect.(Send)
			return isSend && old.To == send.To && kindOf(old.Body) == kindOf(send.Body)
		})
	}
	g.held = append(g.held, next)
}

// Next gives the disk's next work, a Save or Clean, where none is under way.
func (g *Gate) Next(now time.Duration) (Effect, bool) {
	if len(g.tasks) == 0 || g.isOut || now < g.again {
		return nil, false
	}
	g.isOut = true
	return g.tasks[0].effect, true
}

// Done ends the work under way and gives the effects that waited for it. One
// that was refused stays the next.
func (g *Gate) Done(isKept bool, now time.Duration) []Effect {
	g.isOut = false
	if !isKept {
		g.again = now + Pause
		return nil
	}
	g.synced, g.again = g.tasks[0].number, 0
	g.tasks = g.tasks[1:]
	g.since = now
	var free []Effect
	var rest []held
	for _, one := range g.held {
		if one.after <= g.synced {
			free = append(free, one.effect)
			continue
		}
		rest = append(rest, one)
	}
	g.held = rest
	return free
}

// Owed says for how long the disk has owed the work under way or next.
func (g *Gate) Owed(now time.Duration) time.Duration {
	if len(g.tasks) == 0 {
		return 0
	}
	return max(now-g.since, 1)
}

// IsTurning says that a change of role or epoch still waits for its files.
func (g *Gate) IsTurning() bool {
	return slices.ContainsFunc(g.held, func(one held) bool { _, isTurned := one.effect.(Turned); return isTurned })
}

// Clone copies the gate.
func (g *Gate) Clone() *Gate {
	other := *g
	other.tasks, other.held = slices.Clone(g.tasks), slices.Clone(g.held)
	return &other
}
