package consensus

// Reasons of an EpochChanged. They are in the log of events that operators read.
const (
	reasonClusterFormed    = "fleet formed"
	reasonStatus           = "told standing"
	reasonDecided          = "told"
	reasonProposalWon      = "ballot won"
	reasonCandidateAhead   = "candidate is ahead"
	reasonVoterAhead       = "a voter is ahead"
	reasonLeaseRenewal     = "renewal"
	reasonReplicatedWrite  = "write from the primary"
	reasonRepair           = "offer"
	reasonBackupTimeout    = "backup did not sync in time"
	reasonBackupSilent     = "backup silent"
	reasonBackupOutOfOrder = "backup out of step"
)
