// Package consensus replicates the control state among a few control nodes.
//
// Each node with a data directory runs one Machine. Time is divided into epochs. The
// Record of an epoch names its primary, its backup and its voters. The voters decide
// the record of the next epoch by single-decree Paxos (package proposal). The proposer
// is the primary, the backup or, if both are unavailable, a spare voter. In an epoch
// without a backup, in which no writes are made, the fallback takes the place of the
// backup: the other voter that has all writes.
//
// The primary holds a lease, which a majority of the voters renews. While the primary
// holds the lease, it alone serves the control state and accepts writes. It makes one
// write at a time. A write is committed once it is synced by the backup and by as many
// spare voters as the number of tolerated losses requires. A replica that lacks writes
// is repaired by comparing digests over key ranges. If one loss is tolerated, the
// voters that are neither primary nor backup are witnesses: they store votes only.
//
// A node without a vote is a standby. If a voter is silent, leaves or has lost its
// disk, the primary replaces it by a standby. A change of voters is an epoch change
// like any other.
//
// Machine is deterministic and does no I/O. It processes one event at a time, together
// with the time of a monotonic clock, and returns effects to be carried out in order. A
// SyncGate holds back each effect until the files that it depends on are synced.
//
// Start reading with the parts of Machine (machine.go) and the table of handlers
// (dispatch.go). An epoch is proposed in proposer.go, voted on in acceptor.go and
// adopted in epoch.go. The conditions under which the primary proposes an epoch are in
// tick.go. The lease is in lease.go and grantedlease.go. Writes are in writes.go and
// replication.go, and the repair of replicas is in repair.go and spares.go. Changes of
// voters are in standbys.go and membership.go, and the formation of a new cluster is in
// bootstrap.go.
//
// Durations and points in time are of type time.Duration. Fields whose names end in
// Nanos are wall clock times in nanoseconds since 1970.
package consensus
