package httppool

import "tansyseam/internal/coordination/pool"

// Effects of this pool.
type (
	// Respond answers a request: its last effect.
	Respond struct {
		Request *Request
		Result  Result
	}
	// Enqueue has the event Enqueue follow for a request.
	Enqueue struct{ Request *Request }
	// Forward has the event Forward follow, or ForwardFailed.
	Forward struct{ Request *Request }
	// Send sends an operation over a connection: ReplyReceived.
	Send struct {
		Request *Request
		Conn    *Conn
		Op      Op
	}
	// OpenConn opens a connection to an instance: ConnOpened.
	OpenConn struct {
		Conn    *Conn
		Address string
	}
	// CloseConn closes one.
	CloseConn struct{ Conn *Conn }
	// Lookup asks another node for the status of a request id: LookupDone.
	Lookup struct {
		Request *Request
		Node    string
	}
	// Watch begins to follow an instance's position: WatchTarget.
	Watch struct{ Instance string }
)

// Effects that both pools have.
type (
	// Effect is one of the types of this file.
	Effect = pool.Effect
	// Report asks for a report of Observations to the control primary.
	Report = pool.Report
	// WriterChanged says that a writer role has changed.
	WriterChanged = pool.WriterChanged
	// BindingsActivated says that a binding set has come into force.
	BindingsActivated = pool.BindingsActivated
)
