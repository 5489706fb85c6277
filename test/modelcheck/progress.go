package modelcheck

import (
	"math"
	"slices"
	"time"
)

// recoveryTime is the time within which the cluster must commit a write again after all
// faults have ended.
const recoveryTime = 10 * time.Second

// checkProgress checks that the cluster recovers from this state. All faults end, all
// nodes run and reach each other. Within recoveryTime there must be a primary that has a
// backup and has acknowledged a new write. The check leaves the state as it is.
func (w *world) checkProgress() {
	recovered := w.clone()
	recovered.endFaults()
	acknowledged := len(recovered.acked)
	recovered.maxWrites = math.MaxInt // a write that is rejected is followed by another one
	for until := w.now + recoveryTime; recovered.now < until; {
		recovered.deliverAll()
		recovered.startRound()
		recovered.deliverAll()
		recovered.checkInvariants()
		if recovered.violation != "" {
			w.violate("after the end of all faults: %s", recovered.violation)
			return
		}
		if recovered.hasPrimaryWithBackup() && len(recovered.acked) > acknowledged {
			return
		}
	}
	w.violate("no write is acknowledged by a primary with a backup within %v after the end of all faults", recoveryTime)
}

// endFaults ends the faults of all nodes. A node that was asked to leave ends and starts
// again.
func (w *world) endFaults() {
	w.inFlight = slices.Concat(w.inFlight, w.delayed)
	w.delayed = nil
	for index := range w.hosts {
		if h := w.hosts[index]; h.running && h.leaving {
			w.stop(w.mutableHost(index), nil)
		}
		for _, recovery := range recoveries {
			if recovery.enabled(w, w.hosts[index]) {
				recovery.apply(w, w.mutableHost(index))
			}
		}
	}
}

func (w *world) hasPrimaryWithBackup() bool {
	return slices.ContainsFunc(w.hosts, func(h *host) bool {
		return h.running && w.now < h.leaseUntil && h.machine.Record().Backup != ""
	})
}

// toleratesLosses reports whether each state that the search reaches is one from which the
// cluster must recover: no more disks are lost than the number of replicas allows, or each
// fault begins in a state in which the cluster can tolerate it.
func (c *Config) toleratesLosses() bool {
	return c.FaultsWhenHealthyOnly || c.MaxWipes < c.RequiredReplicas
}
