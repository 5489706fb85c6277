package model

import "time"

// Binding gives a service access to a database under a name. The fields after
// Freshness are set by manifests only.
type Binding struct {
	Name     string `json:"name"`
	Database string `json:"database"`
	// Freshness bounds how stale a read may be; 0 requires the primary.
	Freshness time.Duration `json:"-"`
	// ReadYourWrites says that a session's reads also see all its own commits.
	ReadYourWrites bool `json:"-"`
	// Timeout bounds a statement.
	Timeout time.Duration `json:"-"`
	// LatencyTarget is the operator's objective for an operation.
	LatencyTarget time.Duration `json:"-"`
	// Priority ranks bindings under overload; 0 is the highest.
	Priority int `json:"-"`
	// MaxAttempts bounds how often a statement is tried.
	MaxAttempts int `json:"-"`
}

// Database is what a manifest says of a database.
type Database struct {
	Name string
	// MaxConnections bounds the connections to each of its instances, over all nodes.
	MaxConnections int
	// MinSyncReplicas is how many replicas must have received a commit before it is
	// confirmed.
	MinSyncReplicas int
}

// Limits are those that a manifest sets; a limit of 0 is not set.
type Limits struct {
	// MaxMessageBytes bounds the size of a message.
	MaxMessageBytes int
	// IdleTimeout bounds how long a session may be idle outside a transaction, and
	// TransactionIdleTimeout inside one.
	IdleTimeout            time.Duration
	TransactionIdleTimeout time.Duration
}

// BindingSet is one version of the complete bindings. Sets take effect in the order of
// their sequences.
type BindingSet struct {
	// Sequence numbers the sets without gaps, from 1.
	Sequence uint64
	Bindings []Binding
	// EffectiveAt is when the set takes effect on all nodes, in Unix nanoseconds by the
	// control primary's clock; 0 while the set is pending, that is while it is still
	// being distributed.
	EffectiveAt int64
	// NotBefore is the earliest EffectiveAt that the set may get; 0 for any.
	NotBefore int64
	// AcceptedAt is when the set got its sequence, in Unix nanoseconds by the control
	// primary's clock.
	AcceptedAt int64
	// ScheduledBy is the tenure of the control primary that assigned EffectiveAt.
	ScheduledBy string
	// Source names the call or the scheduled change that the set is from.
	Source string
	// Version is the operator's own version of the newest manifest, 0 if there is none.
	Version   uint64
	Databases []Database
	Limits    Limits
}

// Database returns what the manifest says of a database.
func (s BindingSet) Database(name string) (Database, bool) {
	for _, database := range s.Databases {
		if database.Name == name {
			return database, true
		}
	}
	return Database{}, false
}

// Binding returns the binding of a name.
func (s BindingSet) Binding(name string) (Binding, bool) {
	for _, binding := range s.Bindings {
		if binding.Name == name {
			return binding, true
		}
	}
	return Binding{}, false
}

// ScheduledChange is a change of the bindings that is to take effect at a later time.
type ScheduledChange struct {
	ID string
	// EffectiveAt is when the change is to take effect, in Unix nanoseconds by the
	// control primary's clock.
	EffectiveAt int64
	Bindings    []Binding
	// Order is the sequence of the control state when the change was scheduled; it
	// orders changes for the same time.
	Order uint64
}
