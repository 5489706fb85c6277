package httppool

import "tansyseam/internal/coordination/pool"

// Effects of this pool.
type (
	// Respond answers a request. It is the last effect of each request.
	Respond struct {
		Request *Request
		Result  Result
	}
	// Enqueue passes a request to the next stage, which calls Machine.Enqueue.
	Enqueue struct{ Request *Request }
	// Forward passes a request to the next stage, which calls Machine.Forward; if
	// that stage has no room, Machine.ForwardFailed is called.
	Forward struct{ Request *Request }
	// Send sends an operation over a connection. Its answer comes back by
	// Machine.ReplyReceived.
	Send struct {
		Request *Request
		Conn    *Conn
		Op      Op
	}
	// OpenConn opens a connection to an instance. The result comes back by
	// Machine.ConnOpened.
	OpenConn struct {
		Conn    *Conn
		Address string
	}
	// CloseConn closes a connection.
	CloseConn struct{ Conn *Conn }
	// Lookup asks another node for the status of a request id. The answer comes
	// back by Machine.LookupDone.
	Lookup struct {
		Request *Request
		Node    string
	}
	// Watch starts to follow an instance's position, for as long as
	// Machine.WatchTarget is active.
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
