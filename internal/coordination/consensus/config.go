package consensus

import "time"

// Timing holds the durations that a Machine works with. They must be the same on all
// nodes.
type Timing struct {
	// PrimaryLease is how long a voter that granted the lease votes for no other
	// candidate.
	PrimaryLease time.Duration
	// RenewInterval is how often the primary renews its lease.
	RenewInterval time.Duration
	// ReplyTimeout limits the wait for the backup's reply to a write, for the voters'
	// replies to a proposal, and for a sync of the node's own disk.
	ReplyTimeout time.Duration
	// FormInterval is how often a node asks the others for their status while it has
	// found no cluster or no primary.
	FormInterval time.Duration
}

// DefaultTiming returns the durations that are used in production.
func DefaultTiming() Timing {
	return Timing{
		PrimaryLease: 700 * time.Millisecond, RenewInterval: 100 * time.Millisecond,
		ReplyTimeout: 400 * time.Millisecond, FormInterval: 300 * time.Millisecond,
	}
}

// BootstrapConfig defines how a new cluster chooses its voters, and how many replicas a
// write needs.
type BootstrapConfig struct {
	// ExactVoters is the exact number of control nodes that must have been discovered.
	// All of them vote. If it is 0, Voters, MayBootstrap and Seeds determine the
	// voters.
	ExactVoters int
	// Voters is the number of voters. The other control nodes are standbys.
	Voters int
	// MayBootstrap is true if this node may form a cluster while its disk is blank.
	MayBootstrap bool
	// Seeds are the RPC addresses of the nodes that are preferred as voters.
	Seeds []string
	// RequireBackup is true if writes are held while the epoch has no backup, so that
	// each committed write is on at least two disks.
	RequireBackup bool
}
