package distribution

import (
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// UpdateRequest is a node's long poll for the configuration and for a lease.
type UpdateRequest struct {
	// Node and Kind are the node's name and kind, see model.Node.
	Node string
	Kind string
	// Version is the version of the snapshot that the node has applied.
	Version        store.Version
	Reports        []InstanceReport
	HighWatermarks map[string]model.Position
	// ActiveSequence is the sequence of the binding set that is active at the node.
	ActiveSequence uint64
	// ForwardedBy is the name of the peer that forwarded the request, or empty if the
	// request was not forwarded.
	ForwardedBy string
	// ListVersion is the version of the list of instances that the node has.
	ListVersion ListVersion
	// Incarnation identifies the run of the requesting process, or is 0 if the run is
	// not given. If it is given, RequestNumber rises with each request of that run, so
	// that a delayed request is detected.
	Incarnation   int64
	RequestNumber uint64
	// BaselineTenure is the number of the tenure that received, by earlier requests, the
	// data that Reports and HighWatermarks leave out. It is 0 if both are complete.
	BaselineTenure uint64
	// AcceptsDelta is true if the node accepts a snapshot that contains only what was
	// written after Version.
	AcceptsDelta bool
	// WithoutLease is true if the node holds no lease and will accept no lease that was
	// granted for an earlier request. It is not set in a request that is sent both
	// directly and through a peer, because the later copy would release the lease that
	// was granted for the other one.
	WithoutLease bool
	// AcceptsSetChanges is true if the node accepts binding sets as their difference from
	// others. HeldSets are the sets that the node has.
	AcceptsSetChanges bool
	HeldSets          []model.HeldSet
}

// InstanceReport is the observation of one instance by one node. If the node has already
// reported the same instance in this tenure, the report may be abbreviated: Instance then
// contains only the name and, if the position changed, the position.
type InstanceReport struct {
	Instance model.Instance
	// AnnouncementAge is the time since the instance last announced itself. It is not
	// used for instances with synchronous replication.
	AnnouncementAge time.Duration
	// ResponseAge is the time since the instance last responded to this node.
	ResponseAge time.Duration
	// PositionAge is the time since the node sent the query that returned the position.
	PositionAge time.Duration
	// MaxCommitWait is the longest time that a commit at this node has been waiting
	// for the instance.
	MaxCommitWait time.Duration
	// RefusedConnections is the number of connections refused since the last response,
	// and OldestStatementAge is the age of the oldest statement without a response.
	// Both are set for instances with synchronous replication only.
	RefusedConnections int
	OldestStatementAge time.Duration
}

// NodeReport contains reports that a node sends while its request is pending. It may be
// lost or delayed.
type NodeReport struct {
	Node           string
	Reports        []InstanceReport
	HighWatermarks map[string]model.Position
	// BaselineTenure has the same meaning as in UpdateRequest.
	BaselineTenure uint64
}

// Update is the response to an UpdateRequest.
type Update struct {
	// FromPrimary is false if the responding node is not the primary. Record then names
	// the primary, and the fields below are not filled in, except for PrimaryTime and
	// QueuedFor.
	FromPrimary bool
	Record      consensus.Record
	// LeaseDuration is the duration of the lease, counted from when the node sent the
	// request. It is 0 if no lease is granted.
	LeaseDuration time.Duration
	// PrimaryTime is the primary's Unix time in nanoseconds at the response.
	PrimaryTime int64
	// QueuedFor is the time that the request waited for its response.
	QueuedFor time.Duration
	// Snapshot is nil if nothing was written after the request's version. It is a
	// delta if the node accepts deltas and its version is of this tenure.
	Snapshot *model.Snapshot
	// Tenure is the number of the tenure that handled the request. If the request left
	// out data that this tenure does not have, the request was ignored and no lease is
	// granted.
	Tenure uint64
	// ListVersion is the version of the list of instances. Instances contains the
	// instances that changed after the node's version of the list, or all instances if
	// that version is of another tenure. An instance that is not listed may still be
	// running; an instance that has ended is listed as stopped.
	ListVersion ListVersion
	Instances   []model.Instance
}

// ListVersion is the version of a list of instances. Versions of one tenure are ordered;
// versions of different tenures are not comparable.
type ListVersion struct {
	Tenure string
	Number uint64
}

// WriterRoleChange is a request to the control primary to write the writer role of a
// database, provided that the stored role is still the one on which the change was decided.
type WriterRoleChange struct {
	Previous model.WriterRole
	// PreviousExists is true if the database had a writer role.
	PreviousExists bool
	Next           model.WriterRole
	// Action and Evidence are written to the audit log. RequestedBy is the name of the
	// control node that made the decision.
	Action      string
	Evidence    string
	RequestedBy string
}
