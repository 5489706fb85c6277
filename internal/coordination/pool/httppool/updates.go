package httppool

import (
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/state/model"
)

// UpdateRequest returns the next update request to the control primary, with this
// node's observations of the instances.
func (m *Machine) UpdateRequest(now time.Duration) distribution.UpdateRequest {
	m.EffectiveSet(now)
	return m.Routing().UpdateRequest(now, m.replicaLags(now))
}

// Observations returns this node's observations, for a report between two update
// requests.
func (m *Machine) Observations(now time.Duration) distribution.NodeReport {
	return m.Routing().Report(now, m.replicaLags(now))
}

// replicaLags returns, by replica, how long the oldest commit has been waiting for
// that replica.
func (m *Machine) replicaLags(now time.Duration) map[string]time.Duration {
	lags := map[string]time.Duration{}
	for _, database := range m.databases.All() {
		for _, request := range database.unconfirmed {
			for _, replica := range m.Routing().LaggingReplicas(database.name, request.position) {
				lags[replica] = max(lags[replica], now-request.executedAt)
			}
		}
	}
	return lags
}

// ApplyUpdate handles the answer to an update request. sent is the time at which the
// request was sent.
func (m *Machine) ApplyUpdate(update distribution.Update, sent, now time.Duration) {
	if update.Snapshot != nil {
		m.Count("docs_taken", 1)
	}
	m.Count("news_answers", 1)
	for _, change := range m.Routing().ApplyUpdate(update, sent, now) {
		m.database(change.Database)
		m.Emit(WriterChanged{Change: change})
		m.onWriterChanged(change, now)
	}
	m.EffectiveSet(now)
	m.dispatchAll(now)
}

// onWriterChanged abandons the requests in flight at a primary whose term has ended,
// and discards the session state that is pinned there.
func (m *Machine) onWriterChanged(change routing.WriterRoleChanged, now time.Duration) {
	m.Count("writer_moves", 1)
	primary := m.instances.Get(change.Previous.Primary)
	wasOpen := change.Previous.Phase == model.PhaseOpen
	stillPrimary := change.Current.Phase == model.PhaseOpen && change.Current.Primary == change.Previous.Primary
	if primary == nil || !wasOpen || stillPrimary {
		return
	}
	m.closeIdleConns(primary)
	m.abandonAll(primary, now)
	for _, session := range primary.pinnedSessions {
		session.stateLost = true
	}
	m.discardIdlePinned(primary)
}
