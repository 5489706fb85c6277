package consensus

import "time"

// Timing holds the spans that a Machine works with. They must be the same on all nodes.
type Timing struct {
	// PrimaryLease is for how long a voter that granted the lease votes for no other
	// candidate.
	PrimaryLease time.Duration
	// RenewInterval is how often the primary renews its lease.
	RenewInterval time.Duration
	// ReplyTimeout bounds the wait for a reply: of the backup to a write, of the
	// voters to a proposal, of the own disk to a sync.
	ReplyTimeout time.Duration
	// FormInterval is how often a node asks for the status of the others while it
	// knows no cluster, or no primary.
	FormInterval time.Duration
}

// DefaultTiming gives the spans that the product runs with.
func DefaultTiming() Timing {
	return Timing{
		PrimaryLease: 700 * time.Millisecond, RenewInterval: 100 * time.Millisecond,
		ReplyTimeout: 400 * time.Millisecond, FormInterval: 300 * time.Millisecond,
	}
}

// BootstrapConfig says how a new cluster chooses its voters, and how many replicas a
// write needs.
type BootstrapConfig struct {
	// ExactVoters is the exact number of control nodes that must have been met, all
	// of which vote. Where it is 0, the fields below say who votes.
	ExactVoters int
	// Voters is how many vote; the other control nodes are standbys.
	Voters int
	// MayBootstrap allows this node to form a cluster while its disk is blank.
	MayBootstrap bool
	// Seeds are the RPC addresses at which the voters are preferably met.
	Seeds []string
	// RequireBackup holds writes while the epoch has no backup, so that each
	// committed one is on two disks at least.
	RequireBackup bool
}
