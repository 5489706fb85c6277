package control

import (
	"net/http"

	"tansyseam/internal/app/admin"
)

// registerEndpoints registers the handlers of the calls at the node's HTTP
// address. Operators' calls are forwarded to the control primary, which may be
// this node.
func (s *Server) registerEndpoints() {
	for path := range operations {
		admin.HandleForwarded(s.node, path)
	}
	admin.HandleRead(s.node, admin.PathFleet, func() (int, any) { return http.StatusOK, s.report(admin.QueryFleet) })
	admin.HandleRead(s.node, admin.PathHealth, s.health)
	admin.HandleRead(s.node, admin.PathReady, s.ready)
}

func (s *Server) ready() (int, any) { return admin.NewReadiness(s.readiness()) }

func (s *Server) health() (int, any) {
	ready, reason := s.readiness()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record := s.distributor.Record()
	return http.StatusOK, healthAnswer{
		Backup: record.Backup, Epoch: record.Epoch, Ready: ready, Node: s.node.Config().Name, Primary: record.Primary,
		Sequence: s.appliedVersion.Sequence, Reason: reason,
	}
}

// readiness reports whether this node takes part in the control plane, and if not,
// the reason.
func (s *Server) readiness() (ready bool, reason string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.voters) == 0 && s.distributor.Record().Primary == "" {
		return false, "the fleet is not formed, or this machine does not know where it stands"
	}
	return true, ""
}
