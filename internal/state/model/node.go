package model

// Kinds of node. The values are part of the wire format and of the answers to
// operators, so they remain the names of the first release.
const (
	// KindProxy is a node of the data plane (tansyseam-proxy).
	KindProxy = "seamd"
	// KindControl is a node of the control plane (tansyseam-control).
	KindControl = "seamc"
)

// Node is one process of the cluster.
type Node struct {
	Name string
	// Kind is KindProxy or KindControl.
	Kind        string
	Zone        string
	RPCAddress  string
	HTTPAddress string
	// Incarnation identifies the run of the process. It is the start of the run in Unix
	// nanoseconds by the process's own clock, so a later run has a higher incarnation.
	Incarnation int64
	// Version is the version of the messages that the process understands.
	Version int
	// Weight is the node's share of the load, relative to the weights of its peers.
	Weight float64
	// Heartbeat increases while the process runs.
	Heartbeat uint64
	// Left is true if the process has left the cluster gracefully.
	Left bool
}
