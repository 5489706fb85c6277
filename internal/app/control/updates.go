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

// onUpdateRequest takes a node's request for the newest configuration and a
// lease. The control primary replies once there is something new or the
// request has waited long enough; any other node names the primary at once.
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

// flushUpdates replies to the requests that need wait no longer.
func (s *Server) flushUpdates() {
	now := s.node.Now()
	s.mutex.Lock()
	updates := s.distributor.Flush(s.isPrimaryAt(now), s.wallTimeLocked(), now)
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

// onNodeReport takes what a node observed of instances between its requests.
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

// runMaintenance submits the writes that keep the control state in order:
// nodes to be registered, binding sets to be activated, records to be
// garbage-collected.
func (s *Server) runMaintenance() {
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

// announcePrimacy tells the proxies that this node has become the control
// primary, which spares them the timeout of a request to the previous one.
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
