package consensus

// Reasons of an EpochChanged. Operators read them in the event log.
const (
	reasonClusterFormed    = "fleet formed"
	reasonStatus           = "status received"
	reasonDecided          = "decision received"
	reasonProposalWon      = "proposal won"
	reasonCandidateAhead   = "candidate is ahead"
	reasonVoterAhead       = "a voter is ahead"
	reasonLeaseRenewal     = "lease renewal"
	reasonReplicatedWrite  = "write from the primary"
	reasonRepair           = "repaired from a newer record"
	reasonBackupTimeout    = "backup did not sync in time"
	reasonBackupSilent     = "backup unreachable"
	reasonBackupOutOfOrder = "backup out of sequence"
)
