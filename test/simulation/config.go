package simulation

import "time"

// Defects are planted in the simulated environment of the product's state
// machines, to show that the checks detect them.
type Defects struct {
	// OverlongLeases makes each lease that a node receives a hundred times
	// longer.
	OverlongLeases bool
	// BlankIdempotencyRecords makes other nodes answer that they have no record
	// of a request.
	BlankIdempotencyRecords bool
	// InflatedReplicaPositions reports replicas at the most advanced position of
	// any instance of their database.
	InflatedReplicaPositions bool
	// OutdatedPrimaryPositions reports primaries at their position of 4 s ago.
	OutdatedPrimaryPositions bool
	// PromoteWorstReplica makes failovers promote the replica that is furthest
	// behind.
	PromoteWorstReplica bool
	// ResendUnanswered makes nodes resend a request when its answer is lost.
	ResendUnanswered bool
	// IgnoreLeaving hides from nodes the fact that an instance is leaving.
	IgnoreLeaving bool
	// DirtyConnections makes instances report connections that have session
	// state as clean.
	DirtyConnections bool
	// AbruptStop makes a planned stop skip the wait for forwarded requests.
	AbruptStop bool
	// AlteredBindings makes the control primary write other bindings than it
	// received.
	AlteredBindings bool
	// ReadWithoutPrimacy makes control servers answer reads even if they are
	// not primary.
	ReadWithoutPrimacy bool
}

// Config is the size of a simulated fleet, its load and its faults.
type Config struct {
	Controls  int
	Nodes     int
	Databases int
	Callers   int
	// Connections is the maximum number of connections of each instance, Slots
	// the number of operations that it runs at once.
	Connections, Slots int
	// WarmUp is the time for which callers are served before the first fault.
	WarmUp time.Duration
	// FaultDuration is the length of the fault phase. RecoveryDuration is the
	// length of the phase without faults that follows it.
	FaultDuration, RecoveryDuration time.Duration
	// AllowedFaults, if set, names the faults that may be injected.
	// MaxFaultDuration then bounds the duration of each fault.
	AllowedFaults    []string
	MaxFaultDuration time.Duration
	// IndependentDraws makes callers draw each operation independently, and keep
	// their session, which may still be in the transaction, after a commit or
	// rollback failed. Callers did so when some of the regression seeds were
	// found. Otherwise callers shuffle the operations, so that the load is even,
	// and disconnect after such a failure.
	IndependentDraws bool
	// Script, if set, runs in place of random faults.
	Script func(*fleet)
}

// SmallConfig returns the configuration of a fleet with three control servers
// and one database.
func SmallConfig() Config {
	return Config{
		Controls: 3, Nodes: 5, Databases: 1, Callers: 24, Connections: 24, Slots: 4,
		WarmUp: 8 * time.Second, FaultDuration: 20 * time.Second, RecoveryDuration: 18 * time.Second,
	}
}

// LargeConfig returns the configuration of a fleet with five control servers and
// two databases.
func LargeConfig() Config {
	config := SmallConfig()
	config.Controls, config.Nodes, config.Databases = 5, 4, 2
	return config
}
