package control

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/coordination/audit"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// peersRefreshInterval is how often the consensus machine is given the list of
// the other control nodes.
const peersRefreshInterval = 300 * time.Millisecond

// enqueue queues a task for the loop that owns the consensus machine. It blocks
// while the queue is full, and drops the task if the node is stopping.
func (s *Server) enqueue(task func()) {
	select {
	case s.tasks <- task:
	case <-s.node.Workers.Stopping():
	}
}

func (s *Server) tick() {
	if now := s.node.Now(); now >= s.peersRefreshedAt+peersRefreshInterval {
		s.peersRefreshedAt = now
		s.step(s.peers())
	}
	s.step(consensus.Tick{WallNanos: time.Now().UnixNano(), SyncPending: s.gate.SyncPending(s.node.Now())})
}

func (s *Server) peers() consensus.Peers {
	peers := consensus.Peers{ByAddress: map[string]string{}, Zones: map[string]string{}}
	for _, peer := range s.node.Nodes(model.KindControl, membership.StatusLive, membership.StatusDead) {
		peers.Names = append(peers.Names, peer.Name)
		peers.ByAddress[peer.RPCAddress] = peer.Name
		peers.Zones[peer.Name] = peer.Zone
	}
	slices.Sort(peers.Names)
	return peers
}

// step passes an event to the consensus machine. The resulting effects go through
// the gate, which delays each effect that must wait for a file to be synced.
func (s *Server) step(event any) {
	now := s.node.Now()
	s.applyEffects(s.gate.Pass(s.consensus.Step(event, now), now), now)
}

// applyEffects executes effects. If this node has lost primacy or its lease ends
// earlier, primaryUntil is lowered before the effects are executed. If the lease
// ends later, primaryUntil is raised after them, and only once the files that an
// epoch change depends on are synced.
func (s *Server) applyEffects(effects []consensus.Effect, now time.Duration) {
	primaryUntil := time.Duration(0)
	if s.consensus.IsPrimary(now) {
		primaryUntil = s.consensus.LeaseUntil()
	}
	s.publishConsensusState(primaryUntil, now)
	for _, effect := range effects {
		s.execute(effect)
	}
	if !s.gate.IsEpochChangeBlocked() {
		s.mutex.Lock()
		s.primaryUntil = primaryUntil
		s.mutex.Unlock()
	}
	s.startDiskWrite(now)
	s.checkReleased(now)
}

func (s *Server) publishConsensusState(primaryUntil, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.primaryUntil = min(s.primaryUntil, primaryUntil)
	s.wallNanos, s.wallReadAt = s.consensus.WallNanos(now), now
	s.distributor.SetClockTrusted(s.consensus.IsClockConfirmed())
	s.voters = s.consensus.Voters()
	s.singletons.SetVoters(s.consensus.Electorate(), now)
	s.appliedVersion = s.consensus.ReplicaTable().Version
}

// checkReleased ends the wait in Leave once this node holds no role and no file
// is waiting to be synced.
func (s *Server) checkReleased(now time.Duration) {
	if s.onReleased != nil && s.consensus.MayStop() && s.gate.SyncPending(now) == 0 {
		s.onReleased()
	}
}

// execute executes one effect of the consensus machine.
func (s *Server) execute(effect consensus.Effect) {
	if send, ok := effect.(consensus.Send); ok {
		if peer, found := s.node.FindNode(send.To); found {
			s.node.Hub.Send(peer.RPCAddress, send.Body)
		}
		return
	}
	if result, ok := effect.(consensus.SubmitResult); ok {
		s.onSubmitResult(result)
		return
	}
	if committed, ok := effect.(consensus.TableCommitted); ok {
		s.node.Counters.Add("state_writes", 1)
		s.onTableCommitted(committed.Table)
		return
	}
	if changed, ok := effect.(consensus.EpochChanged); ok {
		s.onEpochChanged(changed)
	}
}

func (s *Server) onEpochChanged(event consensus.EpochChanged) {
	record := event.Record
	s.node.ObserveEpoch(record)
	s.mutex.Lock()
	becamePrimary := s.distributor.EpochChanged(record, event.Table, s.node.Now())
	s.mutex.Unlock()
	s.node.Counters.Add("epochs_seen", 1)
	s.logger.Info("epoch changed", "epoch", record.Epoch, "primary", record.Primary, "backup", record.Backup,
		"role", roleOf(record, s.node.Config().Name), "reason", event.Reason)
	if becamePrimary {
		s.refreshRegistry()
		s.recordEvent("control", "took primacy in epoch "+fmt.Sprint(record.Epoch), event.Reason)
	}
}

// roleOf returns the name of a control node's role in an epoch, for logs.
func roleOf(record consensus.Record, name string) string {
	if record.Primary == name {
		return "primary"
	}
	if record.Backup == name {
		return "backup"
	}
	return "witness"
}

// submit submits a write to the control state, which only the control primary
// commits. The function build computes the writes from the state at the time of
// the write, and may be called only on the loop of the consensus machine. If done
// is not nil, it is called with the outcome.
func (s *Server) submit(build func(*store.Table) []store.Put, done func(consensus.SubmitResult)) {
	s.mutex.Lock()
	s.lastToken++
	token := s.lastToken
	if done != nil {
		s.writeWaiters[token] = done
	}
	s.mutex.Unlock()
	s.enqueue(func() { s.step(consensus.Submit{Token: token, Build: build}) })
}

func (s *Server) onSubmitResult(result consensus.SubmitResult) {
	s.mutex.Lock()
	done := s.writeWaiters[result.Token]
	delete(s.writeWaiters, result.Token)
	s.mutex.Unlock()
	if done != nil {
		done(result)
	}
}

// recordEvent adds an entry to the audit log.
func (s *Server) recordEvent(subject, action, evidence string) {
	wallTime := s.wallTime()
	s.submit(func(state *store.Table) []store.Put {
		return audit.Puts(state, model.AuditEntry{At: wallTime, Subject: subject, Action: action, Evidence: evidence})
	}, nil)
}

func (s *Server) isPrimary() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isPrimaryAt(s.node.Now())
}

// isPrimaryAt reports whether this node acts as the control primary. The caller
// must hold the mutex.
func (s *Server) isPrimaryAt(now time.Duration) bool { return now < s.primaryUntil }

// wallTime returns the cluster's wall time in ns since 1970.
func (s *Server) wallTime() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.wallTimeLocked()
}

// wallTimeLocked is wallTime for a caller that holds the mutex.
func (s *Server) wallTimeLocked() int64 { return s.wallNanos + int64(s.node.Now()-s.wallReadAt) }
