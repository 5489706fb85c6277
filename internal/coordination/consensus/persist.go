package consensus

import (
	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// The kinds of files. The names are on disk and must not change.
const (
	FileIdentity   = "identity"
	FileVoterState = "ballots"
	FileTable      = "table"
)

// FileKinds lists the kinds of files.
func FileKinds() []string { return []string{FileIdentity, FileVoterState, FileTable} }

// Identity is the content of a FileIdentity: which cluster a data directory belongs
// to, and which of the node's disks it is on.
type Identity struct {
	// Cluster names the cluster; it is unique.
	Cluster string
	// Self is the name of the node.
	Self string
	// Incarnation tells the disk from those that the node had before.
	Incarnation uint64
	// Voters names the nodes that the cluster is formed with.
	Voters []string
	// Formed says that all of Voters have agreed.
	Formed bool
}

// VoterState is the content of a FileVoterState: what a voter must not forget.
type VoterState struct {
	// Sequence counts the versions of the file.
	Sequence uint64
	// Decided is the newest epoch record known.
	Decided Record
	// Acceptor is the vote on the record of the epoch after Decided.
	Acceptor proposal.Acceptor
	// VotedForOther says that the node has promised or accepted for another candidate
	// than the primary since Decided: it grants no more leases in that epoch.
	VotedForOther bool
	// ReplicaIncomplete says that the node lost its replica, or did not vote for a
	// time, and was not repaired since.
	ReplicaIncomplete bool
}

// PersistentState is what the disk held when the node started.
type PersistentState struct {
	// Identity, VoterState and Table are nil where the disk held none.
	Identity   *Identity
	VoterState *VoterState
	Table      *store.Table
	// TableSequence is the sequence of the file of Table.
	TableSequence uint64
	// Corrupted says that damaged files were skipped, so that what was read may be
	// older than what was synced.
	Corrupted bool
}

// Sequences of an identity's file.
const (
	identityForming = 1
	identityFormed  = 2
)

func (m *Machine) saveIdentity() {
	sequence := uint64(identityForming)
	if m.identity.Formed {
		sequence = identityFormed
	}
	m.emit(Save{Kind: FileIdentity, Sequence: sequence, Data: store.Encode(*m.identity)})
}

func (m *Machine) saveVoterState() {
	m.voterState.Sequence++
	m.emit(Save{Kind: FileVoterState, Sequence: m.voterState.Sequence, Data: store.Encode(m.voterState)})
}

func (m *Machine) saveTable() { m.emit(m.replica.save()) }

// restore takes over what the disk held. Where that may be less than what was synced,
// the node may have forgotten a vote, and continues as one whose disk is blank.
func (m *Machine) restore(saved PersistentState) {
	m.disk.corrupted = saved.Corrupted
	if saved.VoterState != nil {
		m.voterState = *saved.VoterState
	}
	lostVoterState := saved.Identity != nil && saved.Identity.Formed && saved.VoterState == nil
	if saved.Identity == nil || saved.Corrupted || lostVoterState {
		m.identity, m.voterState = nil, VoterState{Sequence: m.voterState.Sequence}
		return
	}
	if m.voterState.Decided.Voters == "" && saved.Identity.Formed {
		m.voterState.Decided.Voters = votersWithoutIncarnation(saved.Identity.Voters)
	}
}
