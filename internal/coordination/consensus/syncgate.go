package consensus

import (
	"reflect"
	"slices"
	"time"
)

// Pause is how long after a refusal the same work is given to the disk again.
const SyncRetryDelay = 100 * time.Millisecond

type blockedEffect struct {
	effect       Effect
	requiredSync uint64
}

type syncTask struct {
	effect Effect
	number uint64
}

// Gate holds each effect back until what it rests on is synced, so that the
// machine can go on while its disk is at work, hangs or refuses. Saves are
// carried out one at a time, in order; one that was refused is tried again.
type SyncGate struct {
	tasks      []syncTask
	blocked    []blockedEffect
	lastIssued uint64
	lastSynced uint64
	// votes is the last save that votes rest on.
	lastVoterStateTask uint64
	inFlight           bool
	pendingSince       time.Duration
	retryAt            time.Duration
}

func requiresNoSync(*SyncGate) uint64       { return 0 }
func requiresVoterState(g *SyncGate) uint64 { return g.lastVoterStateTask }
func requiresAllFiles(g *SyncGate) uint64   { return g.lastIssued }

// What votes, grants and news of epochs rest on; all else rests on all files.
var syncRequirements = map[reflect.Type]func(*SyncGate) uint64{
	reflect.TypeFor[StatusRequest]():  requiresNoSync,
	reflect.TypeFor[Leaving]():        requiresNoSync,
	reflect.TypeFor[Released]():       requiresVoterState,
	reflect.TypeFor[Join]():           requiresVoterState,
	reflect.TypeFor[Status]():         requiresVoterState,
	reflect.TypeFor[FormCluster]():    requiresVoterState,
	reflect.TypeFor[FormClusterAck](): requiresVoterState,
	reflect.TypeFor[ClusterFormed]():  requiresVoterState,
	reflect.TypeFor[RenewLease]():     requiresVoterState,
	reflect.TypeFor[RenewLeaseAck]():  requiresVoterState,
	reflect.TypeFor[Prepare]():        requiresVoterState,
	reflect.TypeFor[Promise]():        requiresVoterState,
	reflect.TypeFor[Accept]():         requiresVoterState,
	reflect.TypeFor[Accepted]():       requiresVoterState,
	reflect.TypeFor[Decided]():        requiresVoterState,
}

func (g *SyncGate) requiredSync(effect Effect) uint64 {
	if answer, isAnswer := effect.(SubmitResult); isAnswer && !answer.Committed {
		return 0
	}
	if send, isSend := effect.(Send); isSend {
		if rest, isKnown := syncRequirements[typeOf(send.Body)]; isKnown {
			return rest(g)
		}
	}
	return requiresAllFiles(g)
}

// Pass takes a step's effects and gives those that may be carried out at once.
func (g *SyncGate) Pass(effects []Effect, now time.Duration) []Effect {
	var free []Effect
	for _, effect := range effects {
		_, isClean := effect.(RemoveCorrupt)
		save, isSave := effect.(Save)
		if isClean || isSave {
			g.enqueue(effect, save.Kind, now)
			continue
		}
		after := g.requiredSync(effect)
		if after <= g.lastSynced {
			free = append(free, effect)
			continue
		}
		g.block(blockedEffect{effect: effect, requiredSync: after})
	}
	return free
}

func (g *SyncGate) enqueue(effect Effect, kind string, now time.Duration) {
	if len(g.tasks) == 0 {
		g.pendingSince = now
	}
	g.lastIssued++
	if kind != FileTable {
		g.lastVoterStateTask = g.lastIssued
	}
	last := len(g.tasks) - 1
	isWaiting := last > 0 || (last == 0 && !g.inFlight)
	if isWaiting && kind != "" {
		if save, isSave := g.tasks[last].effect.(Save); isSave && save.Kind == kind {
			g.tasks[last] = syncTask{effect: effect, number: g.lastIssued}
			return
		}
	}
	g.tasks = append(g.tasks, syncTask{effect: effect, number: g.lastIssued})
}

// hold keeps one message of a type to each machine, the last: the link may
// lose any, and a hanging disk must not fill the memory.
func (g *SyncGate) block(next blockedEffect) {
	if send, isSend := next.effect.(Send); isSend {
		g.blocked = slices.DeleteFunc(g.blocked, func(other blockedEffect) bool {
			old, isSend := other.effect.(Send)
			return isSend && old.To == send.To && typeOf(old.Body) == typeOf(send.Body)
		})
	}
	g.blocked = append(g.blocked, next)
}

// Next gives the disk's next work, a Save or Clean, where none is under way.
func (g *SyncGate) Next(now time.Duration) (Effect, bool) {
	if len(g.tasks) == 0 || g.inFlight || now < g.retryAt {
		return nil, false
	}
	g.inFlight = true
	return g.tasks[0].effect, true
}

// Done ends the work under way and gives the effects that waited for it. One
// that was refused stays the next.
func (g *SyncGate) Done(isKept bool, now time.Duration) []Effect {
	g.inFlight = false
	if !isKept {
		g.retryAt = now + SyncRetryDelay
		return nil
	}
	g.lastSynced, g.retryAt = g.tasks[0].number, 0
	g.tasks = g.tasks[1:]
	g.pendingSince = now
	var free []Effect
	var rest []blockedEffect
	for _, one := range g.blocked {
		if one.requiredSync <= g.lastSynced {
			free = append(free, one.effect)
			continue
		}
		rest = append(rest, one)
	}
	g.blocked = rest
	return free
}

// Owed says for how long the disk has owed the work under way or next.
func (g *SyncGate) SyncPending(now time.Duration) time.Duration {
	if len(g.tasks) == 0 {
		return 0
	}
	return max(now-g.pendingSince, 1)
}

// IsTurning says that a change of role or epoch still waits for its files.
func (g *SyncGate) IsEpochChangeBlocked() bool {
	return slices.ContainsFunc(g.blocked, func(one blockedEffect) bool { _, isTurned := one.effect.(EpochChanged); return isTurned })
}

// Clone copies the gate.
func (g *SyncGate) Clone() *SyncGate {
	other := *g
	other.tasks, other.blocked = slices.Clone(g.tasks), slices.Clone(g.blocked)
	return &other
}
