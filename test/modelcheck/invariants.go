package modelcheck

import (
	"fmt"
	"maps"
	"slices"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/proposal"
)

// violate records a violation of an invariant. Only the first one is kept.
func (w *world) violate(format string, parts ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, parts...)
	}
}

// checkInvariants checks that there is at most one primary, and that it serves all
// writes that were acknowledged or served before.
func (w *world) checkInvariants() {
	primary := ""
	for _, h := range w.hosts {
		if !h.running || w.now >= h.leaseUntil {
			continue
		}
		if primary != "" {
			w.violate("%s and %s hold the lease at the same time", primary, h.name)
		}
		primary = h.name
		w.checkServed(h)
	}
}

func (w *world) checkServed(h *host) {
	for _, key := range slices.Concat(w.acked, w.published) {
		if !slices.Contains(h.published, key) {
			w.violate("%s does not serve %s, which was acknowledged or served before", h.name, key)
		}
	}
	for _, key := range h.published {
		if !slices.Contains(w.published, key) {
			w.published = append(slices.Clone(w.published), key)
		}
	}
}

// checkReplicas checks that enough disks hold an acknowledged write.
func (w *world) checkReplicas(h *host, key string) {
	replicas := 0
	for _, other := range w.hosts {
		if slices.Contains(other.files.keys, key) {
			replicas++
		}
	}
	if replicas+w.wipes < w.config.RequiredReplicas {
		w.violate("%s acknowledged %s, which is synced on %d disks", h.name, key, replicas)
	}
}

// checkRecord checks that an epoch has only one record.
func (w *world) checkRecord(h *host, record consensus.Record) {
	recorded, exists := w.records[record.Epoch]
	if exists && recorded != record {
		w.violate("epoch %d has two records: %v, and at %s %v", record.Epoch, recorded, h.name, record)
	}
	if !exists {
		w.records = maps.Clone(w.records)
		w.records[record.Epoch] = record
	}
}

// checkMessage checks a message against the messages that its sender sent before.
func (w *world) checkMessage(h *host, body any) {
	if ack, ok := body.(consensus.RenewLeaseAck); ok {
		w.checkEpochRises(h, ack.Decided.Epoch)
		if ack.Granted {
			w.checkParticipation(h, "grants")
		}
	}
	if renewal, ok := body.(consensus.RenewLease); ok {
		w.checkEpochRises(h, renewal.Record.Epoch)
	}
	if decided, ok := body.(consensus.Decided); ok {
		w.checkEpochRises(h, decided.Record.Epoch)
		w.checkRecord(h, decided.Record)
	}
	if _, ok := body.(consensus.Prepare); ok {
		w.checkParticipation(h, "proposes")
	}
	if promise, ok := body.(consensus.Promise); ok && promise.Granted {
		w.checkPromise(h, promise)
	}
	if accepted, ok := body.(consensus.Accepted); ok {
		w.checkVote(h, accepted.Epoch, accepted.Number)
		h.accepts[accepted.Epoch] = accepted.Number
	}
	if _, ok := body.(consensus.Accept); ok {
		w.checkParticipation(h, "proposes")
	}
}

// checkEpochRises checks that a node does not report a lower epoch than before.
func (w *world) checkEpochRises(h *host, epoch uint64) {
	if epoch < h.reportedEpoch {
		w.violate("%s reports epoch %d after %d", h.name, epoch, h.reportedEpoch)
	}
	h.reportedEpoch = max(h.reportedEpoch, epoch)
}

// checkParticipation checks that a node participates only if it is a voter of its
// record, with an incarnation whose disk it has not lost.
func (w *world) checkParticipation(h *host, action string) {
	member, found := h.machine.Record().Voters.Find(h.name)
	if !found {
		w.violate("%s is not a voter, but %s", h.name, action)
	}
	if found && h.retired[member.Incarnation] {
		w.violate("%s, whose disk is blank, %s", h.name, action)
	}
}

// retireIncarnations records the incarnations that end with the loss of a node's disk.
func (w *world) retireIncarnations(h *host) {
	retired := map[uint64]bool{}
	maps.Copy(retired, h.retired)
	for _, record := range w.records {
		if member, found := record.Voters.Find(h.name); found {
			retired[member.Incarnation] = true
		}
	}
	h.retired = retired
}

// checkPromise checks that a node promises a proposal at most once.
func (w *world) checkPromise(h *host, promise consensus.Promise) {
	w.checkVote(h, promise.Epoch, promise.Number)
	if promise.Number == h.promises[promise.Epoch] {
		w.violate("%s promises %v in epoch %d twice", h.name, promise.Number, promise.Epoch)
	}
	h.promises[promise.Epoch] = promise.Number
}

// checkVote checks that a node does not vote for a lower proposal than in an earlier
// vote of the same epoch.
func (w *world) checkVote(h *host, epoch uint64, number proposal.Number) {
	w.checkParticipation(h, "votes")
	if number.IsBefore(h.promises[epoch]) || number.IsBefore(h.accepts[epoch]) {
		w.violate("%s votes for %v in epoch %d after %v and %v", h.name, number, epoch, h.promises[epoch], h.accepts[epoch])
	}
}
