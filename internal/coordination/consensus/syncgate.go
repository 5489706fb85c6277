package consensus

import (
	"reflect"
	"slices"
	"time"
)

// SyncRetryDelay is the pause before the disk is given work again that it has refused.
const SyncRetryDelay = 100 * time.Millisecond

// SyncGate holds back each effect until the files that it depends on are synced, so
// that a Machine can go on while its disk works, hangs or refuses.
//
// Its owner passes the effects of each step through Pass, gives the disk one task at a
// time from Next, and reports its end to Done. Tasks are done in order; one that was
// refused is done again. The zero SyncGate is ready for use.
type SyncGate struct {
	tasks   []syncTask
	blocked []blockedEffect
	// lastIssued and lastSynced number the tasks, and lastVoterStateTask is the last
	// one that votes depend on.
	lastIssued         uint64
	lastSynced         uint64
	lastVoterStateTask uint64
	// inFlight says that the disk is at work on the first task.
	inFlight     bool
	pendingSince time.Duration
	retryAt      time.Duration
}

// syncTask is a Save or RemoveCorrupt with its number.
type syncTask struct {
	effect Effect
	number uint64
}

// blockedEffect waits for the task of a number to be synced.
type blockedEffect struct {
	effect       Effect
	requiredSync uint64
}

func requiresNoSync(*SyncGate) uint64       { return 0 }
func requiresVoterState(g *SyncGate) uint64 { return g.lastVoterStateTask }
func requiresAllFiles(g *SyncGate) uint64   { return g.lastIssued }

// syncRequirements gives the last task that a message depends on, by the type of the
// message. All other effects depend on all files.
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

// requiredSync gives the number of the last task that an effect depends on.
func (g *SyncGate) requiredSync(effect Effect) uint64 {
	if result, ok := effect.(SubmitResult); ok && !result.Committed {
		return 0
	}
	if send, ok := effect.(Send); ok {
		if required, ok := syncRequirements[reflect.TypeOf(send.Body)]; ok {
			return required(g)
		}
	}
	return requiresAllFiles(g)
}

// Pass takes the effects of a step, and gives those that may be carried out at once.
func (g *SyncGate) Pass(effects []Effect, now time.Duration) []Effect {
	var ready []Effect
	for _, effect := range effects {
		if kind, ok := taskKind(effect); ok {
			g.enqueue(effect, kind, now)
			continue
		}
		required := g.requiredSync(effect)
		if required <= g.lastSynced {
			ready = append(ready, effect)
			continue
		}
		g.block(blockedEffect{effect: effect, requiredSync: required})
	}
	return ready
}

// taskKind says whether an effect is a task of the disk, and gives the kind of file
// that it saves, which is empty for a RemoveCorrupt.
func taskKind(effect Effect) (kind string, ok bool) {
	if save, isSave := effect.(Save); isSave {
		return save.Kind, true
	}
	_, ok = effect.(RemoveCorrupt)
	return "", ok
}

// enqueue adds a task. A save that follows one of the same kind, which the disk has not
// begun, replaces it.
func (g *SyncGate) enqueue(effect Effect, kind string, now time.Duration) {
	if len(g.tasks) == 0 {
		g.pendingSince = now
	}
	g.lastIssued++
	if kind != FileTable {
		g.lastVoterStateTask = g.lastIssued
	}
	task := syncTask{effect: effect, number: g.lastIssued}
	if last := len(g.tasks) - 1; g.isReplaceable(last, kind) {
		g.tasks[last] = task
		return
	}
	g.tasks = append(g.tasks, task)
}

// isReplaceable says whether a task saves a kind of file, and was not begun.
func (g *SyncGate) isReplaceable(index int, kind string) bool {
	isWaiting := index > 0 || (index == 0 && !g.inFlight)
	if !isWaiting {
		return false
	}
	save, ok := g.tasks[index].effect.(Save)
	return ok && save.Kind == kind
}

// block keeps the last message of each type to each node only: the network may lose
// any, and a disk that hangs must not fill the memory.
func (g *SyncGate) block(added blockedEffect) {
	if send, ok := added.effect.(Send); ok {
		g.blocked = slices.DeleteFunc(g.blocked, func(other blockedEffect) bool { return isSameMessage(other.effect, send) })
	}
	g.blocked = append(g.blocked, added)
}

// isSameMessage says whether an effect sends the same type of message to the same node.
func isSameMessage(effect Effect, send Send) bool {
	other, ok := effect.(Send)
	return ok && other.To == send.To && reflect.TypeOf(other.Body) == reflect.TypeOf(send.Body)
}

// Next gives the disk's next task, a Save or RemoveCorrupt, or false where one is under
// way or none is due.
func (g *SyncGate) Next(now time.Duration) (Effect, bool) {
	if len(g.tasks) == 0 || g.inFlight || now < g.retryAt {
		return nil, false
	}
	g.inFlight = true
	return g.tasks[0].effect, true
}

// Done ends the task under way, and gives the effects that waited for it. One that was
// not synced is the next again, after SyncRetryDelay.
func (g *SyncGate) Done(synced bool, now time.Duration) []Effect {
	g.inFlight = false
	if !synced {
		g.retryAt = now + SyncRetryDelay
		return nil
	}
	g.lastSynced, g.retryAt = g.tasks[0].number, 0
	g.tasks = g.tasks[1:]
	g.pendingSince = now
	return g.release()
}

// release takes out the effects whose files are synced.
func (g *SyncGate) release() []Effect {
	var ready []Effect
	var blocked []blockedEffect
	for _, waiting := range g.blocked {
		if waiting.requiredSync <= g.lastSynced {
			ready = append(ready, waiting.effect)
			continue
		}
		blocked = append(blocked, waiting)
	}
	g.blocked = blocked
	return ready
}

// SyncPending says for how long the disk has had the task under way, or the next. It is
// 0 where there is none.
func (g *SyncGate) SyncPending(now time.Duration) time.Duration {
	if len(g.tasks) == 0 {
		return 0
	}
	return max(now-g.pendingSince, 1)
}

// IsEpochChangeBlocked says whether an EpochChanged waits for its files.
func (g *SyncGate) IsEpochChangeBlocked() bool {
	return slices.ContainsFunc(g.blocked, func(waiting blockedEffect) bool {
		_, ok := waiting.effect.(EpochChanged)
		return ok
	})
}

// Clone copies the gate.
func (g *SyncGate) Clone() *SyncGate {
	other := *g
	other.tasks, other.blocked = slices.Clone(g.tasks), slices.Clone(g.blocked)
	return &other
}
