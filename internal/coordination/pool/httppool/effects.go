package httppool

import "tansyseam/internal/coordination/pool"

// Effects of this pool.
type (
	// Respond sends the answer to a request. It is the last effect of each request.
	Respond struct {
		Request *Request
		Result  Result
	}
	// Enqueue passes a request to the next stage, which calls Machine.Enqueue.
	Enqueue struct{ Request *Request }
	// Forward passes a request to the next stage, which calls Machine.Forward. If
	// that stage has no room, the caller calls Machine.ForwardFailed.
	Forward struct{ Request *Request }
	// Send sends an operation over a connection. The reply is passed to
	// Machine.ReplyReceived.
	Send struct {
		Request *Request
		Conn    *Conn
		Op      Op
	}
	// OpenConn opens a connection to an instance. The result is passed to
	// Machine.ConnOpened.
	OpenConn struct {
		Conn    *Conn
		Address string
	}
	// CloseConn closes a connection.
	CloseConn struct{ Conn *Conn }
	// Lookup asks another node for the status of a request id. The answer is passed
	// to Machine.LookupDone.
	Lookup struct {
		Request *Request
		Node    string
	}
	// Watch starts to follow an instance's position by status requests, until
	// Machine.WatchTarget reports that the watch has ended.
	Watch struct{ Instance string }
)

// Effects that both pools have.
type (
	// Effect is one of the types of this file.
	Effect = pool.Effect
	// Report requests that Observations be reported to the control primary.
	Report = pool.Report
	// WriterChanged announces that a writer role has changed.
	WriterChanged = pool.WriterChanged
	// BindingsActivated announces that a binding set has come into force.
	BindingsActivated = pool.BindingsActivated
)
