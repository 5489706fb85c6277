package consensus

import (
	"reflect"
	"slices"
	"time"
)

// SyncRetryDelay is the delay before a failed disk task is retried.
const SyncRetryDelay = 100 * time.Millisecond

// SyncGate holds back each effect until the files that it depends on are synced, so
// that a Machine can continue while its disk is busy, hangs or returns errors.
//
// The owner of a SyncGate passes the effects of each step to Pass, carries out the disk
// tasks returned by Next one at a time, and reports the end of each task to Done. Tasks
// are carried out in order, and a failed task is retried. The zero SyncGate is ready
// for use.
type SyncGate struct {
	tasks   []syncTask
	blocked []blockedEffect
	// lastIssued and lastSynced are the numbers of the last task issued and the last
	// task synced. lastVoterStateTask is the number of the last task that votes depend
	// on.
	lastIssued         uint64
	lastSynced         uint64
	lastVoterStateTask uint64
	// inFlight is true while the disk works on the first task.
	inFlight     bool
	pendingSince time.Duration
	retryAt      time.Duration
}

// syncTask is a Save or RemoveCorrupt with its number.
type syncTask struct {
	effect Effect
	number uint64
}

// blockedEffect is an effect that waits until the task with a given number is synced.
type blockedEffect struct {
	effect       Effect
	requiredSync uint64
}

func requiresNoSync(*SyncGate) uint64       { return 0 }
func requiresVoterState(g *SyncGate) uint64 { return g.lastVoterStateTask }
func requiresAllFiles(g *SyncGate) uint64   { return g.lastIssued }

// syncRequirements maps the type of a message to a function that returns the number of
// the last task that the message depends on. All other effects depend on all files.
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

// requiredSync returns the number of the last task that an effect depends on.
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

// Pass adds the effects of a step and returns those that may be carried out at once.
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

// taskKind reports whether an effect is a disk task. It also returns the kind of file
// that the task saves, which is empty for a RemoveCorrupt.
func taskKind(effect Effect) (kind string, ok bool) {
	if save, isSave := effect.(Save); isSave {
		return save.Kind, true
	}
	_, ok = effect.(RemoveCorrupt)
	return "", ok
}

// enqueue adds a task. A Save replaces the last task if that task saves the same kind of
// file and the disk is not working on it.
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

// isReplaceable reports whether a task saves the given kind of file and is not in
// progress. A failed task that waits for its retry is not in progress.
func (g *SyncGate) isReplaceable(index int, kind string) bool {
	isWaiting := index > 0 || (index == 0 && !g.inFlight)
	if !isWaiting {
		return false
	}
	save, ok := g.tasks[index].effect.(Save)
	return ok && save.Kind == kind
}

// block adds a blocked effect. It keeps only the last message of each type to each
// node, because the network may lose any message and a disk that hangs must not fill
// the memory.
func (g *SyncGate) block(added blockedEffect) {
	if send, ok := added.effect.(Send); ok {
		g.blocked = slices.DeleteFunc(g.blocked, func(other blockedEffect) bool { return isSameMessage(other.effect, send) })
	}
	g.blocked = append(g.blocked, added)
}

// isSameMessage reports whether an effect sends the same type of message to the same
// node.
func isSameMessage(effect Effect, send Send) bool {
	other, ok := effect.(Send)
	return ok && other.To == send.To && reflect.TypeOf(other.Body) == reflect.TypeOf(send.Body)
}

// Next returns the disk's next task, which is a Save or RemoveCorrupt. It returns false
// if a task is in progress or none is due.
func (g *SyncGate) Next(now time.Duration) (Effect, bool) {
	if len(g.tasks) == 0 || g.inFlight || now < g.retryAt {
		return nil, false
	}
	g.inFlight = true
	return g.tasks[0].effect, true
}

// Done ends the task in progress and returns the effects that waited for it. If the
// task was not synced, Next returns it again after SyncRetryDelay.
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

// release removes and returns the effects whose files are synced.
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

// SyncPending returns the time since the first task in the queue became the first,
// whether or not the disk has started it. It is 0 if there is no task.
func (g *SyncGate) SyncPending(now time.Duration) time.Duration {
	if len(g.tasks) == 0 {
		return 0
	}
	return max(now-g.pendingSince, 1)
}

// IsEpochChangeBlocked reports whether an EpochChanged waits for its files to be
// synced.
func (g *SyncGate) IsEpochChangeBlocked() bool {
	return slices.ContainsFunc(g.blocked, func(waiting blockedEffect) bool {
		_, ok := waiting.effect.(EpochChanged)
		return ok
	})
}

// Clone returns a copy of the gate.
func (g *SyncGate) Clone() *SyncGate {
	other := *g
	other.tasks, other.blocked = slices.Clone(g.tasks), slices.Clone(g.blocked)
	return &other
}
