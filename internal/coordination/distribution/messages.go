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
	// Version is that of the snapshot that the node has applied.
	Version        store.Version
	Reports        []InstanceReport
	HighWatermarks map[string]model.Position
	// ActiveSequence is the sequence of the binding set that is active at the node.
	ActiveSequence uint64
	// ForwardedBy names the peer that forwards the request, if one does.
	ForwardedBy string
	// ListVersion is the version of the list of instances that the node has.
	ListVersion ListVersion
	// Incarnation identifies the run of the requesting process, 0 if it is not
	// given; RequestNumber then rises with each request of that run, so that a
	// delayed request is recognized.
	Incarnation   int64
	RequestNumber uint64
	// BaselineTenure is the number of the tenure that has, by earlier requests,
	// what Reports and HighWatermarks leave out; 0 if they are complete.
	BaselineTenure uint64
	// AcceptsDelta says that the node accepts a snapshot that holds only what was
	// written after Version.
	AcceptsDelta bool
	// WithoutLease says that the node holds no lease and will accept no grant made
	// for an earlier request. It is not set in a request that is sent over two paths.
	WithoutLease bool
}

// InstanceReport is what one node observed of one instance. If the node has already
// reported the same instance in this tenure, it may be abbreviated: Instance then
// holds only the name and, if it changed, the position.
type InstanceReport struct {
	Instance model.Instance
	// AnnouncementAge is how long ago the instance announced itself; it is not used
	// for instances with synchronous replication.
	AnnouncementAge time.Duration
	// ResponseAge is how long ago the instance last responded to this node.
	ResponseAge time.Duration
	// PositionAge is how long ago the query was sent that returned the position.
	PositionAge time.Duration
	// MaxCommitWait is the longest time that a commit at this node has been waiting
	// for the instance.
	MaxCommitWait time.Duration
	// RefusedConnections counts the connections refused since the last response, and
	// OldestStatementAge is the age of the oldest statement that got no response;
	// both are set for instances with synchronous replication only.
	RefusedConnections int
	OldestStatementAge time.Duration
}

// NodeReport carries a node's reports while a request of it is pending. It may be
// lost or delayed.
type NodeReport struct {
	Node           string
	Reports        []InstanceReport
	HighWatermarks map[string]model.Position
	// BaselineTenure is as in UpdateRequest.
	BaselineTenure uint64
}

// Update is the response to an UpdateRequest.
type Update struct {
	// FromPrimary is false if the responding node is not the primary; Record then
	// tells who is, and the rest is empty.
	FromPrimary bool
	Record      consensus.Record
	// LeaseDuration counts from when the node sent the request; 0 is no lease.
	LeaseDuration time.Duration
	// PrimaryTime is the primary's Unix time, in nanoseconds, of the response.
	PrimaryTime int64
	// QueuedFor is how long the request waited for its response.
	QueuedFor time.Duration
	// Snapshot is nil if nothing was written after the request's version. It is a
	// delta if the node accepts one and its version is of this tenure.
	Snapshot *model.Snapshot
	// Tenure is the number of the tenure that handled the request. If the request
	// left out what this tenure does not have, it was ignored, and there is no lease.
	Tenure uint64
	// ListVersion is the version of the list of instances, and Instances are those
	// that changed since the node's version of it, or all if that is of another
	// tenure. An instance that is not listed may still run; one that ended is listed
	// as stopped.
	ListVersion ListVersion
	Instances   []model.Instance
}

// ListVersion orders the lists of instances of one tenure; versions of two tenures
// are not comparable.
type ListVersion struct {
	Tenure string
	Number uint64
}

// WriterRoleChange asks the primary to write a database's writer role, if it is still
// the one that the change was decided on.
type WriterRoleChange struct {
	Previous model.WriterRole
	// PreviousExists says whether the database had a writer role.
	PreviousExists bool
	Next           model.WriterRole
	// Action and Evidence are for the audit log; RequestedBy names the control node
	// that made the decision.
	Action      string
	Evidence    string
	RequestedBy string
}
