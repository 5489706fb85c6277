package model

// Kinds of node. The values are part of the wire format and of the answers to
// operators, which keep the names of the first release.
const (
	// KindProxy is the data plane's program, tansyseam-proxy.
	KindProxy = "seamd"
	// KindControl is the control plane's program, tansyseam-control.
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
	// Incarnation identifies the run of the process; a later run has a higher one. It is
	// the start of the run in Unix nanoseconds by the process's own clock.
	Incarnation int64
	// Version is that of the messages which the process understands.
	Version int
	// Weight is the node's share of the load, relative to the weights of its peers.
	Weight float64
	// Heartbeat rises for as long as the process runs.
	Heartbeat uint64
	// Left says that the process has left the cluster gracefully.
	Left bool
}
