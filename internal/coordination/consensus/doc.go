// Package consensus replicates the control state among a few control nodes.
//
// Each node with a data directory runs one Machine. Time is cut into epochs. The
// Record of an epoch names its primary, its backup and the voters that decide the
// record of the epoch after it; that decision is single-decree Paxos (package
// proposal), with the primary, the backup or, where neither is there, a spare voter
// as proposer.
//
// The primary holds a lease, which a majority of the voters renews. While it holds
// it, it alone serves the control state and takes writes, one at a time. A write is
// committed once the backup, and as many spare voters as the tolerated losses ask
// for, have synced it. A replica that lacks writes is repaired by digests over key
// ranges. Voters that are neither primary nor backup are witnesses where one loss is
// tolerated: they keep votes only.
//
// A node without a vote is a standby. The primary replaces a voter that is silent,
// leaves, or has lost its disk by a standby; a change of voters is an epoch change
// like any other.
//
// Machine is pure: it takes one event at a time with the time of a monotonic clock,
// and gives effects to be carried out in order. A SyncGate holds back each effect
// until the files that it depends on are synced.
//
// To read it, begin with the parts of Machine (machine.go) and the table of handlers
// (dispatch.go). An epoch is proposed in proposer.go, voted on in acceptor.go and taken
// up in epoch.go; tick.go says when the primary proposes one. The lease is lease.go and
// grantedlease.go, a write writes.go and replication.go, a replica that lags repair.go
// and spares.go, a change of voters standbys.go and membership.go, a new cluster
// bootstrap.go.
//
// Spans and moments are time.Duration; fields named Nanos are nanoseconds since 1970
// of a wall clock.
package consensus
