package linepool

import "time"

// Timing holds the machine's timeouts and limits.
type Timing struct {
	// DefaultTimeout bounds a statement whose binding gives no timeout.
	DefaultTimeout time.Duration
	// UnavailableWait is how long a statement is queued when the lease or the
	// writer role is missing, rather than capacity. After it the statement is
	// rejected.
	UnavailableWait time.Duration
	// QueueFraction is the part of its timeout that a statement may spend in
	// the queue, from 0 to 1.
	QueueFraction float64
	// ConnectWait is how long a connect may wait for a lease and for bindings.
	ConnectWait time.Duration
	// OpenTimeout bounds the opening of a connection to an instance.
	OpenTimeout time.Duration
	// ClosingGrace is how long commits in flight may still be answered by a
	// primary whose term is closing.
	ClosingGrace time.Duration
	// AbandonedTimeout is the age at which a connection is closed whose answer
	// nobody waits for any more.
	AbandonedTimeout time.Duration
	// IdleInTransaction is how long a transaction may be idle where the binding
	// set gives no limit.
	IdleInTransaction time.Duration
	// BackoffMin and BackoffMax bound the pause after a refused connection.
	BackoffMin, BackoffMax time.Duration
	// SurplusIdle is how long a connection beyond the node's quota of idle
	// connections may be idle.
	SurplusIdle time.Duration
	// RetryDelay is the pause before a statement that an instance refused is
	// sent again, times the number of its attempts.
	RetryDelay time.Duration
	// MaxRetries is how often a statement may be put back into the queue.
	MaxRetries int
	// DrainWindow is how long a draining instance is still sent what only it
	// can serve: statements of open transactions, and, if it is the primary,
	// strict statements.
	DrainWindow time.Duration
	// LateDrainWindow is what is left of DrainWindow when the instance was
	// draining already as the node learned of it.
	LateDrainWindow time.Duration
	// LaggingPause is how long a replica that refused as lagging is skipped.
	LaggingPause time.Duration
	// ReplicationBound is the age from which a session's own commit is taken to
	// have reached the replicas.
	ReplicationBound time.Duration
	// Linger is how long a draining node serves as before, so that load
	// balancers can notice that it is not ready.
	Linger time.Duration
	// EndTransactions is the age of the drain at which idle sessions are closed
	// even inside a transaction, EndSessions that at which all are closed.
	EndTransactions, EndSessions time.Duration
	// MaxQueue limits the statements in one queue.
	MaxQueue int
	// MaxClients limits the node's client sessions.
	MaxClients int
	// MaxPipelined limits the statements that a client may send ahead of the
	// answer to an earlier one.
	MaxPipelined int
	// MaxPrepared limits the statements that are prepared on one connection.
	MaxPrepared int
	// ReferenceTarget is the latency target to which measured latencies are
	// scaled, so that the window compares statements of different weight.
	ReferenceTarget time.Duration
}

// DefaultTiming returns the timing that nodes use in production.
func DefaultTiming() Timing {
	return Timing{
		DefaultTimeout:    5 * time.Second,
		UnavailableWait:   700 * time.Millisecond,
		QueueFraction:     0.45,
		ConnectWait:       1800 * time.Millisecond,
		OpenTimeout:       700 * time.Millisecond,
		ClosingGrace:      150 * time.Millisecond,
		AbandonedTimeout:  10 * time.Second,
		IdleInTransaction: 3 * time.Second,
		BackoffMin:        40 * time.Millisecond,
		BackoffMax:        400 * time.Millisecond,
		SurplusIdle:       40 * time.Millisecond,
		RetryDelay:        20 * time.Millisecond,
		MaxRetries:        8,
		DrainWindow:       5 * time.Second,
		LateDrainWindow:   2 * time.Second,
		LaggingPause:      150 * time.Millisecond,
		ReplicationBound:  300 * time.Millisecond,
		Linger:            2300 * time.Millisecond,
		EndTransactions:   2900 * time.Millisecond,
		EndSessions:       5400 * time.Millisecond,
		MaxQueue:          4096,
		MaxClients:        3000,
		MaxPipelined:      16,
		MaxPrepared:       200,
		ReferenceTarget:   200 * time.Millisecond,
	}
}

const (
	// Margins by which a stop finishes ahead of its grace period.
	endTransactionsMargin = 100 * time.Millisecond
	endSessionsMargin     = 600 * time.Millisecond
	lingerMargin          = 600 * time.Millisecond
	drainMargin           = 2 * time.Second
	// lateDrainPercent is LateDrainWindow's part of DrainWindow.
	lateDrainPercent = 40
)

// Within returns the timing fitted to its surroundings: grace is how long the
// platform waits for a node to stop, drain how long an instance serves after
// it has announced that it leaves.
func (t Timing) Within(grace, drain time.Duration) Timing {
	t.EndTransactions = grace/2 - endTransactionsMargin
	t.EndSessions = grace - endSessionsMargin
	t.Linger = min(t.Linger, t.EndSessions-lingerMargin)
	t.DrainWindow = max(drain-drainMargin, drain/2)
	t.LateDrainWindow = t.DrainWindow * lateDrainPercent / 100
	return t
}
