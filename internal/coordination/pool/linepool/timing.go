package linepool

import "time"

// Timing holds the machine's timeouts and limits.
type Timing struct {
	// DefaultTimeout is the timeout of a statement whose binding sets none.
	DefaultTimeout time.Duration
	// UnavailableWait is how long a statement may wait for the lease or for an
	// open writer role. The statement is rejected after that time. A node that
	// has been without a lease for longer rejects new statements and connect
	// requests at once.
	UnavailableWait time.Duration
	// QueueFraction is the fraction of its timeout that a statement may spend
	// in the queue, from 0 to 1.
	QueueFraction float64
	// ConnectWait is how long a connect request may wait for a lease and for
	// bindings.
	ConnectWait time.Duration
	// OpenTimeout is the timeout for opening a connection to an instance.
	OpenTimeout time.Duration
	// ClosingGrace is how long after its term was closed a primary may still
	// answer the commits in flight.
	ClosingGrace time.Duration
	// AbandonedTimeout is the age of an abandoned attempt, or of a command of the
	// node's own, at which its connection is closed if the answer has not arrived.
	AbandonedTimeout time.Duration
	// IdleInTransaction is how long a transaction may be idle if the binding
	// set has no limit.
	IdleInTransaction time.Duration
	// BackoffMin and BackoffMax bound the pause after a refused connection.
	BackoffMin, BackoffMax time.Duration
	// SurplusIdle is how long a connection may be idle while the node has more
	// connections to the instance than it may keep idle.
	SurplusIdle time.Duration
	// RetryDelay is the pause before a statement that an instance refused is
	// sent again. It is multiplied by the number of the statement's attempts.
	RetryDelay time.Duration
	// MaxRetries is the number of times that a statement may be put back into
	// the queue.
	MaxRetries int
	// DrainWindow is how long a draining instance still receives statements
	// that only it can serve: statements of open transactions and, if it is the
	// primary, strict statements.
	DrainWindow time.Duration
	// LateDrainWindow replaces DrainWindow for an instance that was already
	// draining when the control primary first reported it to the node.
	LateDrainWindow time.Duration
	// LaggingPause is how long a replica is skipped after it refused a request
	// because it lags.
	LaggingPause time.Duration
	// ReplicationBound is the age from which a session's own commit is assumed
	// to have reached the replicas.
	ReplicationBound time.Duration
	// Linger is how long a draining node continues to serve normally, so that
	// load balancers can notice that it is not ready.
	Linger time.Duration
	// DrainIdle is how long a session of a draining node must have been idle
	// before it is closed, so that the client's next statement is unlikely to
	// cross with the close.
	DrainIdle time.Duration
	// DrainIdleInTransaction replaces DrainIdle for a session in a transaction,
	// from EndTransactions on.
	DrainIdleInTransaction time.Duration
	// EndTransactions is the time after the start of the drain from which new
	// work is rejected and idle sessions are closed also inside a transaction.
	// EndSessions is the time at which all sessions are closed.
	EndTransactions, EndSessions time.Duration
	// MaxQueue is the maximum number of statements in one queue.
	MaxQueue int
	// MaxClients is the maximum number of client sessions on the node.
	MaxClients int
	// MaxPipelined is the maximum number of statements that a client may send
	// before an earlier one is answered.
	MaxPipelined int
	// MaxPrepared is the maximum number of statements that are prepared on one
	// connection.
	MaxPrepared int
	// ReferenceTarget is the latency target to which measured latencies are
	// scaled, so that the window can compare statements that need different
	// amounts of work.
	ReferenceTarget time.Duration
}

// DefaultTiming returns the timing that nodes use in production.
func DefaultTiming() Timing {
	return Timing{
		DefaultTimeout:         5 * time.Second,
		UnavailableWait:        700 * time.Millisecond,
		QueueFraction:          0.45,
		ConnectWait:            1800 * time.Millisecond,
		OpenTimeout:            700 * time.Millisecond,
		ClosingGrace:           150 * time.Millisecond,
		AbandonedTimeout:       10 * time.Second,
		IdleInTransaction:      3 * time.Second,
		BackoffMin:             40 * time.Millisecond,
		BackoffMax:             400 * time.Millisecond,
		SurplusIdle:            40 * time.Millisecond,
		RetryDelay:             20 * time.Millisecond,
		MaxRetries:             8,
		DrainWindow:            5 * time.Second,
		LateDrainWindow:        2 * time.Second,
		LaggingPause:           150 * time.Millisecond,
		ReplicationBound:       300 * time.Millisecond,
		Linger:                 2300 * time.Millisecond,
		DrainIdle:              50 * time.Millisecond,
		DrainIdleInTransaction: 250 * time.Millisecond,
		EndTransactions:        3 * time.Second,
		EndSessions:            5400 * time.Millisecond,
		MaxQueue:               4096,
		MaxClients:             3000,
		MaxPipelined:           16,
		MaxPrepared:            200,
		ReferenceTarget:        200 * time.Millisecond,
	}
}

const (
	// Margins by which the steps of a stop end before the limits that Within
	// derives them from.
	endSessionsMargin = 600 * time.Millisecond
	lingerMargin      = 600 * time.Millisecond
	drainMargin       = 2 * time.Second
	// lateDrainPercent is LateDrainWindow as a percentage of DrainWindow.
	lateDrainPercent = 40
)

// Within returns the timing adapted to the environment. grace is how long the
// platform waits for a node to stop. drain is how long an instance continues to
// serve after it has announced that it is leaving.
func (t Timing) Within(grace, drain time.Duration) Timing {
	t.EndTransactions = grace / 2
	t.EndSessions = grace - endSessionsMargin
	t.Linger = min(t.Linger, t.EndSessions-lingerMargin)
	t.DrainWindow = max(drain-drainMargin, drain/2)
	t.LateDrainWindow = t.DrainWindow * lateDrainPercent / 100
	return t
}
