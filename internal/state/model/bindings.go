package model

import "time"

// Binding gives a service access to a database under a name. The fields after
// Freshness are set by manifests only.
type Binding struct {
	Name     string `json:"name"`
	Database string `json:"database"`
	// Freshness is the maximum staleness of a read. If it is 0, reads require the primary.
	Freshness time.Duration `json:"-"`
	// ReadYourWrites is true if a session's reads must reflect all its own commits.
	ReadYourWrites bool `json:"-"`
	// Timeout is the maximum duration of a statement.
	Timeout time.Duration `json:"-"`
	// LatencyTarget is the operator's objective for an operation.
	LatencyTarget time.Duration `json:"-"`
	// Priority is the priority of the binding under overload. 0 is the highest.
	Priority int `json:"-"`
	// MaxAttempts is the maximum number of attempts to run a statement, or 0 for the
	// default.
	MaxAttempts int `json:"-"`
}

// Database holds a manifest's settings of a database.
type Database struct {
	Name string
	// MaxConnections is the maximum number of connections to each instance of the database,
	// over all nodes.
	MaxConnections int
	// MinSyncReplicas is the number of replicas that must have received a commit before it
	// is confirmed. The nodes store the value, but do not enforce it.
	MinSyncReplicas int
}

// Limits holds the limits that a manifest sets. A limit of 0 is not set.
type Limits struct {
	// MaxMessageBytes is the maximum size of a message. The nodes store it, but do not
	// enforce it.
	MaxMessageBytes int
	// IdleTimeout is how long a session may be idle outside a transaction, and
	// TransactionIdleTimeout is how long it may be idle inside a transaction. The nodes
	// store IdleTimeout, but do not enforce it. If TransactionIdleTimeout is 0, a default
	// applies.
	IdleTimeout            time.Duration
	TransactionIdleTimeout time.Duration
}

// BindingSet is one version of the complete set of bindings. Sets take effect in the
// order of their sequences.
type BindingSet struct {
	// Sequence is the number of the set. Sets are numbered from 1 in the order in which
	// they were accepted. Sets that never took effect may be missing.
	Sequence uint64
	Bindings []Binding
	// EffectiveAt is when the set takes effect on all nodes, in Unix nanoseconds by the
	// control primary's clock. It is 0 while the set is pending, that is, while it is
	// still being distributed.
	EffectiveAt int64
	// NotBefore is the earliest EffectiveAt that may be assigned to the set, or 0 for any.
	NotBefore int64
	// AcceptedAt is when the first of the changes that the set carries was accepted, in
	// Unix nanoseconds by the control primary's clock. It is earlier than the acceptance
	// of the set itself if the set replaced others before they took effect.
	AcceptedAt int64
	// ScheduledBy identifies the control primary that assigned EffectiveAt, and its period
	// in that role.
	ScheduledBy string
	// Source identifies the call or the scheduled change that created the set.
	Source string
	// Version is the operator's own version of the newest manifest, or 0 if there is none.
	Version   uint64
	Databases []Database
	Limits    Limits
}

// Database returns the manifest's settings of a database. It returns false if the
// manifest does not list the database.
func (s BindingSet) Database(name string) (Database, bool) {
	for _, database := range s.Databases {
		if database.Name == name {
			return database, true
		}
	}
	return Database{}, false
}

// Binding returns the binding with a name. It returns false if there is none.
func (s BindingSet) Binding(name string) (Binding, bool) {
	for _, binding := range s.Bindings {
		if binding.Name == name {
			return binding, true
		}
	}
	return Binding{}, false
}

// ScheduledChange is a change of the bindings that is scheduled to take effect later.
type ScheduledChange struct {
	ID string
	// EffectiveAt is when the change is to take effect, in Unix nanoseconds by the
	// control primary's clock.
	EffectiveAt int64
	Bindings    []Binding
	// Order is the sequence of the control state when the change was scheduled. Changes
	// for the same time take effect in this order.
	Order uint64
}
