package control

import (
	"time"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/singleton"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

type epochRecord struct {
	Backup  string `json:"backup"`
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
}

type announcedInstance struct {
	AgeMillis int64          `json:"heard_ms"`
	Instance  model.Instance `json:"instance"`
}

// nodeLease is a granted lease, with the version of the control state that the
// node has applied and the sequence of the binding set that is in force there.
type nodeLease struct {
	Epoch          uint64 `json:"epoch"`
	Node           string `json:"node"`
	Sequence       uint64 `json:"sequence"`
	ActiveSequence uint64 `json:"shows"`
}

// report is this node's view of the control plane and of the cluster.
type report struct {
	Singletons  []singleton.RoleStatus `json:"duties"`
	Audit       []model.AuditEntry     `json:"entries"`
	Epoch       epochRecord            `json:"epoch"`
	Instances   []announcedInstance    `json:"instances"`
	Kind        string                 `json:"kind"`
	Leases      []nodeLease            `json:"leases"`
	Node        string                 `json:"node"`
	Nodes       []admin.NodeStatus     `json:"nodes"`
	Primary     bool                   `json:"primacy"`
	BindingSets admin.BindingSets      `json:"sets"`
	Version     admin.Version          `json:"stamp"`
	Voters      []string               `json:"voters"`
	Query       string                 `json:"what"`
	Writers     []admin.WriterRole     `json:"writers"`
}

// report returns the answer to a query, as JSON.
func (s *Server) report(query string) []byte {
	now := s.node.Now()
	instances := announcedInstances(s.node.Instances(instanceRetention), now)
	answer := s.stateReport(now)
	answer.Query, answer.Instances, answer.Nodes = query, instances, admin.NewNodeStatuses(s.node)
	return encode(answer)
}

func announcedInstances(list []node.AnnouncedInstance, now time.Duration) []announcedInstance {
	instances := []announcedInstance{}
	for _, announced := range list {
		instances = append(instances, announcedInstance{
			AgeMillis: (now - announced.AnnouncedAt).Milliseconds(), Instance: announced.Instance,
		})
	}
	return instances
}

// stateReport returns the part of the report that comes from the server's own
// state.
func (s *Server) stateReport(now time.Duration) report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	snapshot, self := s.distributor.Snapshot(), s.node.Config().Name
	return report{
		Singletons: s.singletons.Roles(now), Audit: auditEntries(s.distributor.State()), Epoch: newEpochRecord(s.distributor.Record()),
		Kind: model.KindControl, Leases: s.leases(now), Node: self, Primary: s.isPrimaryAt(now),
		BindingSets: admin.NewBindingSets(self, snapshot, snapshot.ActiveSet(s.wallTimeLocked())),
		Version:     admin.NewVersion(s.appliedVersion), Voters: s.voters, Writers: admin.NewWriterRoles(snapshot),
	}
}

func newEpochRecord(record consensus.Record) epochRecord {
	return epochRecord{Backup: record.Backup, Epoch: record.Epoch, Primary: record.Primary}
}

func auditEntries(state *store.Table) []model.AuditEntry {
	entries := []model.AuditEntry{}
	for _, key := range state.Keys(model.PrefixAuditEntry) {
		if entry, found := store.Get(state, key, model.AuditEntryFrom); found {
			entries = append(entries, entry)
		}
	}
	return entries
}

// leases returns the nodes that may hold a lease. The caller must hold the mutex.
func (s *Server) leases(now time.Duration) []nodeLease {
	leases := []nodeLease{}
	for name, version := range s.distributor.LeasedNodes(now) {
		leases = append(leases, nodeLease{
			Epoch: version.Epoch, Node: name, Sequence: version.Sequence, ActiveSequence: s.distributor.ActiveSequence(name),
		})
	}
	return leases
}
