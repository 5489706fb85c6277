package control

import (
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// onUpdateRequest handles a node's request for the newest configuration and a
// lease. The control primary replies once there is an update or the request has
// waited long enough. Any other node replies at once with its epoch record, which
// names the primary.
func (s *Server) onUpdateRequest(request distribution.UpdateRequest, reply func(any)) {
	now := s.node.Now()
	s.mutex.Lock()
	if !s.isPrimaryAt(now) {
		record := s.distributor.Record()
		s.mutex.Unlock()
		reply(distribution.Update{Record: record})
		return
	}
	s.lastToken++
	s.updateWaiters[s.lastToken] = reply
	s.distributor.HandleRequest(request, s.lastToken, now)
	s.mutex.Unlock()
	s.flushUpdates()
}

// flushUpdates replies to the update requests that no longer have to wait.
func (s *Server) flushUpdates() {
	now := s.node.Now()
	s.mutex.Lock()
	updates := s.distributor.Flush(s.isPrimaryAt(now), s.links(), s.wallTimeLocked(), now)
	replies := make([]func(any), len(updates))
	for index, update := range updates {
		replies[index] = s.updateWaiters[update.Token]
		delete(s.updateWaiters, update.Token)
	}
	s.mutex.Unlock()
	for index, reply := range replies {
		reply(updates[index].Update)
	}
}

// links returns the links to the other nodes. Before the node has started, nothing waits to
// be sent.
func (s *Server) links() distribution.Links {
	if s.node.Hub == nil {
		return distribution.IdleLinks{}
	}
	return s.node.Hub
}

// onNodeReport handles a node's report on instances while its update request is
// pending.
func (s *Server) onNodeReport(report distribution.NodeReport) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.distributor.HandleReport(report, s.node.Now())
}

func (s *Server) onTableCommitted(table *store.Table) {
	s.mutex.Lock()
	s.distributor.Publish(table)
	s.mutex.Unlock()
	s.flushUpdates()
}

// runMaintenance submits the maintenance writes that are due: they register nodes,
// activate binding sets, and delete binding sets and departures that are no longer needed.
func (s *Server) runMaintenance() {
	s.writeDepartures()
	for _, write := range s.dueWrites() {
		s.submit(write.Build, func(consensus.SubmitResult) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			write.Done()
		})
	}
}

func (s *Server) dueWrites() []distribution.Write {
	now := s.node.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isPrimaryAt(now) {
		return nil
	}
	var writes []distribution.Write
	for _, next := range []func(int64, time.Duration) (distribution.Write, bool){
		s.distributor.RegisterNodes, s.distributor.NextActivation, s.distributor.NextCollection,
	} {
		if write, due := next(s.wallTimeLocked(), now); due {
			writes = append(writes, write)
		}
	}
	return writes
}

// announcePrimacy notifies the proxies when this node has become the control
// primary. Without it, they would wait for a request to the previous primary to
// time out.
func (s *Server) announcePrimacy() {
	primary := s.isPrimary()
	if primary && !s.primacyAnnounced {
		s.notifyProxies(s.node.EpochRecord())
	}
	s.primacyAnnounced = primary
}

func (s *Server) notifyProxies(record consensus.Record) {
	for _, proxy := range s.node.Nodes(model.KindProxy, membership.StatusLive) {
		s.node.Hub.Send(proxy.RPCAddress, message.EpochChanged{Record: record})
	}
}
