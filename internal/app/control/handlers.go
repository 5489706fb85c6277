package control

import (
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/protocol/message"
)

// registerHandlers registers the handler of each type of message from other nodes.
func (s *Server) registerHandlers() {
	s.node.HandleMessages(consensus.Messages(), func(from string, body any, _ func(any)) {
		s.enqueue(func() { s.step(consensus.Received{From: from, Body: body}) })
	})
	s.node.OnSyncedAnnouncement(s.onSyncAnnouncement)
	node.HandleMessage(s.node, func(from string, request proposal.VoteRequest, reply func(any)) {
		reply(s.voteFor(from, request))
	})
	node.HandleMessage(s.node, func(_ string, request distribution.UpdateRequest, reply func(any)) {
		s.onUpdateRequest(request, reply)
	})
	node.HandleMessage(s.node, func(_ string, report distribution.NodeReport, _ func(any)) {
		s.onNodeReport(report)
	})
	node.HandleMessage(s.node, func(_ string, announcement message.InstanceAnnouncement, reply func(any)) {
		s.acceptAnnouncement(announcement.Instance, func(result message.AnnouncementResult) { reply(result) })
	})
	node.HandleMessage(s.node, func(_ string, bound syncrepl.ReportBound, _ func(any)) {
		s.confirmCoverage(bound)
	})
	node.HandleMessage(s.node, func(_ string, request message.EvidenceRequest, reply func(any)) {
		reply(s.onEvidenceRequest(request))
	})
	node.HandleMessage(s.node, func(_ string, change distribution.WriterRoleChange, reply func(any)) {
		s.onWriterRoleChange(change, reply)
	})
	node.HandleMessage(s.node, func(_ string, call message.OperatorCall, reply func(any)) {
		s.onOperatorCall(call, reply)
	})
	node.HandleMessage(s.node, func(_ string, query message.QueryRequest, reply func(any)) {
		reply(message.QueryResponse{Body: s.report(query.What)})
	})
}
