package distribution

import (
	"tansyseam/internal/coordination/audit"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// WriterRolePuts returns the puts that carry out a change of a writer role. It returns no
// puts if the stored role is no longer the one on which the change was decided.
func WriterRolePuts(state *store.Table, change WriterRoleChange, wallNanos int64) []store.Put {
	key := model.PrefixWriterRole + change.Next.Database
	stored, exists := store.Get(state, key, model.WriterRoleFrom)
	if exists != change.PreviousExists || !isSameDecision(stored, change.Previous) {
		return nil
	}
	puts := []store.Put{{Key: key, Data: store.Encode(change.Next)}}
	return append(puts, audit.Puts(state, model.AuditEntry{
		At:       wallNanos,
		Subject:  "database " + change.Next.Database,
		Action:   change.Action,
		Evidence: change.Evidence + " (singleton role held by " + change.RequestedBy + ")",
	})...)
}

// isSameDecision reports whether two writer roles agree in the fields on which failover
// decisions depend. The high watermark and the reason may differ, since they change without
// a decision.
func isSameDecision(stored, previous model.WriterRole) bool {
	return stored.Term == previous.Term &&
		stored.Phase == previous.Phase &&
		stored.Promoting == previous.Promoting &&
		stored.PromoteCalls == previous.PromoteCalls &&
		stored.FencingToken == previous.FencingToken &&
		(!stored.SyncReplication || stored.LastTransitionAt == previous.LastTransitionAt) &&
		sameReplicas(stored.RequiredReplicas, previous.RequiredReplicas) &&
		sameReplicas(stored.Candidates, previous.Candidates)
}

// sameReplicas reports whether two sets of replicas have the same names and incarnations.
func sameReplicas(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for name, incarnation := range a {
		if b[name] != incarnation {
			return false
		}
	}
	return true
}
