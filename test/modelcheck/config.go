package modelcheck

import "time"

// Config configures a search and sets its bounds.
type Config struct {
	// Voters is the number of initial voters. Standbys is the number of further
	// nodes, which start with blank disks.
	Voters, Standbys int
	// RoundDuration is the duration of a round. If it is 0, a round lasts 100 ms.
	RoundDuration time.Duration
	// MaxFaults is the maximum number of faults. At most MaxWipes of them are
	// losses of a disk.
	MaxFaults, MaxWipes int
	// Rounds is the number of rounds that are searched, and Writes is the number of
	// writes that are submitted during these rounds.
	Rounds, Writes int
	// RequiredReplicas is the number of disks that must hold each acknowledged write,
	// less the number of lost disks.
	RequiredReplicas int
	// AllowedFaults lists the faults that may happen. If it is empty, all may.
	AllowedFaults []Fault
	// FaultHosts lists the nodes to which faults may happen. If it is empty, faults
	// may happen to all nodes. Message faults are not restricted by it.
	FaultHosts []string
	// FaultsWhenHealthyOnly restricts node faults to states in which the cluster can
	// tolerate the loss of a node.
	FaultsWhenHealthyOnly bool
	// Defect is the defect that is planted around the machines.
	Defect Defect
	// ProgressInterval is the number of new states of which one is searched for progress
	// (see checkProgress). If it is 0, none is.
	ProgressInterval int
	// MaxStates ends the search after this number of distinct states. There is no
	// limit if it is 0.
	MaxStates int
}

// Defect selects planted defects. Each violates an assumption of the machines, to
// show that the invariants detect the violation.
type Defect struct {
	// BlankDiskVotes makes a node with a blank disk start as one of the initial
	// voters.
	BlankDiskVotes bool
	// VotesUnsynced makes nodes send votes before they are synced. The sync happens
	// in the next round.
	VotesUnsynced bool
	// AssumesBackupAck makes the primary treat a write as synced by the backup as soon
	// as the write is sent.
	AssumesBackupAck bool
	// ReusesIncarnation makes a node that lost its disk and was restarted act as the
	// voter that it was before.
	ReusesIncarnation bool
	// UsesBootstrapVoters makes a restarted node use the initial voters in place of
	// the voters of its record.
	UsesBootstrapVoters bool
}
