package modelcheck

import (
	"slices"
	"time"

	"tansyseam/internal/coordination/consensus"
)

// step passes an event to the machine and carries out the effects that the gate
// releases.
func (w *world) step(h *host, event any) {
	effects := h.machine.Step(event, w.now)
	if w.config.Defect.VotesUnsynced {
		effects = h.withoutVoteSaves(effects)
	}
	w.release(h, h.gate.Pass(effects, w.now))
	w.sync(h)
}

// withoutVoteSaves removes the save of votes from effects. The save is carried out in
// the next round.
func (h *host) withoutVoteSaves(effects []consensus.Effect) []consensus.Effect {
	return slices.DeleteFunc(effects, func(effect consensus.Effect) bool {
		save, ok := effect.(consensus.Save)
		isVote := ok && save.Kind == consensus.FileVoterState
		if isVote {
			h.delayedSave = save
		}
		return isVote
	})
}

func (h *host) finishDelayedSave() {
	if h.delayedSave != nil {
		persist(h, h.delayedSave)
		h.delayedSave = nil
	}
}

// release carries out effects that the gate released. A lease is given up immediately,
// but held only after the epoch change that it depends on is synced.
func (w *world) release(h *host, effects []consensus.Effect) {
	leaseUntil := time.Duration(0)
	if h.machine.IsPrimary(w.now) {
		leaseUntil = h.machine.LeaseUntil()
	}
	h.leaseUntil = min(h.leaseUntil, leaseUntil)
	for _, effect := range effects {
		w.apply(h, effect)
	}
	if !h.gate.IsEpochChangeBlocked() {
		h.leaseUntil = leaseUntil
	}
}

// apply carries out an effect.
func (w *world) apply(h *host, effect consensus.Effect) {
	if send, ok := effect.(consensus.Send); ok {
		w.applySend(h, send)
	}
	if result, ok := effect.(consensus.SubmitResult); ok {
		w.applySubmitResult(h, result)
	}
	if committed, ok := effect.(consensus.TableCommitted); ok {
		h.published = keysOf(committed.Table)
	}
	if changed, ok := effect.(consensus.EpochChanged); ok {
		h.published = keysOf(changed.Table)
		w.checkRecord(h, changed.Record)
	}
}

func (w *world) applySend(h *host, send consensus.Send) {
	w.checkMessage(h, send.Body)
	if write, ok := send.Body.(consensus.Replicate); ok && w.config.Defect.AssumesBackupAck {
		w.step(h, consensus.Received{From: send.To, Body: consensus.ReplicateAck{Version: write.Version, Synced: true}})
	}
	w.send(message{from: h.name, to: send.To, body: send.Body})
}

func (w *world) applySubmitResult(h *host, result consensus.SubmitResult) {
	if h.name == w.submitter {
		w.submitter = ""
	}
	if result.Committed {
		key := writeKey(result.Token)
		w.acked = append(slices.Clone(w.acked), key)
		w.checkReplicas(h, key)
	}
}
