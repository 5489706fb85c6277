package modelcheck

import "time"

// Config bounds a search.
type Config struct {
	// Voters is how many nodes vote at first, Standbys how many have blank disks.
	Voters, Standbys int
	// RoundDuration is how long a round lasts, 100 ms where it is 0.
	RoundDuration time.Duration
	// MaxFaults is how many faults may happen, and MaxWipes how many of them may be
	// the loss of a disk.
	MaxFaults, MaxWipes int
	// Rounds is how many rounds are searched, and Writes how many writes are submitted
	// in them.
	Rounds, Writes int
	// RequiredReplicas is how many disks, less those lost, must hold what was
	// acknowledged.
	RequiredReplicas int
	// AllowedFaults, where not empty, are the faults that may happen.
	AllowedFaults []Fault
	// FaultHosts, where not empty, are the nodes to which they may happen. Faults of
	// messages may happen anywhere.
	FaultHosts []string
	// FaultsWhenHealthyOnly has faults happen to nodes only while the cluster could
	// bear the loss of one.
	FaultsWhenHealthyOnly bool
	// Defect is put around the machines on purpose.
	Defect Defect
	// MaxStates, where not 0, ends the search after so many distinct states.
	MaxStates int
}

// Defect breaks what the machines rely on, to show that the invariants find it.
type Defect struct {
	// BlankDiskVotes has a node with a blank disk start as one of the first voters.
	BlankDiskVotes bool
	// VotesUnsynced has votes sent before they are synced, which happens in the round
	// after.
	VotesUnsynced bool
	// AssumesBackupAck has the primary take a write for synced by the backup as soon
	// as it is sent.
	AssumesBackupAck bool
	// ReusesIncarnation has a node that lost its disk, and is restarted, take itself
	// for the voter that it was.
	ReusesIncarnation bool
	// UsesBootstrapVoters has a node that is restarted take the first voters for those
	// of its record.
	UsesBootstrapVoters bool
}
