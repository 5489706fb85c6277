package linepool

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// confirmCommits confirms the commits that instances have carried out. It does
// so only while the node holds a lease and the term in which they ran is open,
// or is closing and the node has not yet reported to the control primary that
// it has observed the close. Until that report no other instance is promoted,
// and the positions that the control primary collects afterwards cover every
// commit that is confirmed now. A commit of any other term ends with an unknown
// outcome.
func (m *Machine) confirmCommits(database *databaseState, now time.Duration) {
	for _, request := range slices.Clone(database.unconfirmed) {
		if !m.isTermCurrent(database, request) {
			m.respondUnknown(request, errTermEnded, now)
			continue
		}
		if m.Routing().HasLease(now) {
			m.confirm(database, request, now)
		}
	}
}

func (m *Machine) isTermCurrent(database *databaseState, request *Request) bool {
	writer := m.Routing().WriterRole(database.name)
	open := writer.Phase == model.PhaseOpen
	closing := writer.Phase == model.PhaseClosing && !database.closeReported
	return writer.Term == request.term && (open || closing)
}

func (m *Machine) confirm(database *databaseState, request *Request, now time.Duration) {
	client := request.client
	database.highWatermark = database.highWatermark.Max(request.position)
	if client.ownCommits == nil {
		client.ownCommits = map[string]ownCommit{}
	}
	position := client.ownCommits[database.name].position.Max(request.position)
	client.ownCommits[database.name] = ownCommit{position: position, at: now}
	m.respondWithAnswer(request, now)
}

// HasStrandedCommits reports whether commits are in flight at a primary whose
// term is closing but which may still answer them. The next update request,
// which reports that this node has stopped using that primary, should wait for
// them for up to Timing.ClosingGrace.
func (m *Machine) HasStrandedCommits(now time.Duration) bool {
	for _, database := range m.databases.All() {
		primary := m.instance(m.Routing().WriterRole(database.name).Primary)
		responsive := primary != nil && now-primary.lastResponse < 2*m.timing.ClosingGrace
		justClosed := database.writerClosedAt != 0 && now-database.writerClosedAt < m.timing.ClosingGrace
		if responsive && justClosed && len(m.strandedCommits(database)) > 0 {
			return true
		}
	}
	return false
}

// strandedCommits returns the commits in flight whose term is no longer open.
func (m *Machine) strandedCommits(database *databaseState) []*Request {
	writer, _, open := m.writer(database)
	var stranded []*Request
	for _, request := range database.inFlight {
		if request.mayPersist() && request.isSent() && (!open || request.term != writer.Term) {
			stranded = append(stranded, request)
		}
	}
	return stranded
}

// abortStranded ends a commit that is in flight at an instance which is no
// longer the primary or whose drain window is over. Its outcome is unknown.
func (m *Machine) abortStranded(request *Request, now time.Duration) {
	m.closeAttemptConns(request, now)
	if request.transaction != nil {
		request.transaction.conn = nil
	}
	m.respondUnknown(request, errPrimaryDemoted, now)
}
