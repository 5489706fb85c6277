package consensus

import (
	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/store"
)

// The kinds of files. The values are part of the stored data and must not change.
const (
	FileIdentity   = "identity"
	FileVoterState = "ballots"
	FileTable      = "table"
)

// FileKinds returns the kinds of files.
func FileKinds() []string { return []string{FileIdentity, FileVoterState, FileTable} }

// Identity is the content of a FileIdentity. It records the cluster that a data
// directory belongs to, and which of the node's disks holds the directory.
type Identity struct {
	// Cluster is the unique name of the cluster.
	Cluster string
	// Self is the name of the node.
	Self string
	// Incarnation distinguishes the disk from the disks that the node had before.
	Incarnation uint64
	// Voters are the names of the nodes that the cluster is formed with. It is empty if
	// the node joined a cluster that was already formed.
	Voters []string
	// Formed is true once all Voters have agreed, or once the node has joined a cluster
	// that was already formed.
	Formed bool
}

// VoterState is the content of a FileVoterState, which a voter must not lose.
type VoterState struct {
	// Sequence counts the versions of the file.
	Sequence uint64
	// Decided is the newest known epoch record.
	Decided Record
	// Acceptor is the vote on the record of the epoch after Decided.
	Acceptor proposal.Acceptor
	// VotedForOther is true if, since Decided, the node has promised or accepted a
	// proposal by a candidate other than the primary. The node then grants no more
	// leases in that epoch.
	VotedForOther bool
	// ReplicaIncomplete is true if the node lost its replica, or was not a voter for a
	// time, and has not been repaired since.
	ReplicaIncomplete bool
}

// PersistentState is the content of the disk when the node started.
type PersistentState struct {
	// Identity, VoterState and Table are nil if the disk held none.
	Identity   *Identity
	VoterState *VoterState
	Table      *store.Table
	// TableSequence is the sequence number of the file that holds Table.
	TableSequence uint64
	// Corrupted is true if damaged files were skipped, so that the content read may be
	// older than what was synced.
	Corrupted bool
}

// Sequence numbers of the identity file.
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

// restore sets the state of the machine from the content of the disk. If the disk may
// have lost data that was synced, the node may have lost a vote, so it continues like a
// node with a blank disk.
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
