package simulation

import "time"

// Defects are put on purpose into what surrounds the product's machines, to
// show that the checks find them.
type Defects struct {
	// OverlongLeases makes each lease that a node receives a hundred times
	// longer.
	OverlongLeases bool
	// BlankIdempotencyRecords has other nodes answer that they know nothing
	// of a request.
	BlankIdempotencyRecords bool
	// InflatedReplicaPositions shows replicas at the position of the furthest
	// instance.
	InflatedReplicaPositions bool
	// OutdatedPrimaryPositions shows primaries at their position of 4 s ago.
	OutdatedPrimaryPositions bool
	// PromoteWorstReplica has failovers promote the replica that is furthest
	// behind.
	PromoteWorstReplica bool
	// ResendUnanswered sends a request again when its answer is lost.
	ResendUnanswered bool
	// IgnoreLeaving hides from nodes that an instance is leaving.
	IgnoreLeaving bool
	// DirtyConnections has instances report connections with state as clean.
	DirtyConnections bool
	// AbruptStop has a planned stop not wait for forwarded requests.
	AbruptStop bool
	// AlteredBindings has the control primary write other bindings than it
	// was sent.
	AlteredBindings bool
	// ReadWithoutPrimacy has control servers answer reads also when they are
	// not primary.
	ReadWithoutPrimacy bool
}

// Config is the size of a simulated fleet, and what befalls it.
type Config struct {
	Controls  int
	Nodes     int
	Databases int
	Callers   int
	// Connections and Slots are those of each instance.
	Connections, Slots int
	// WarmUp is how long callers are served before the first fault.
	WarmUp time.Duration
	// FaultDuration is how long faults are injected; RecoveryDuration follows
	// without any.
	FaultDuration, RecoveryDuration time.Duration
	// AllowedFaults, where given, names the faults that may be injected, and
	// MaxFaultDuration bounds them then.
	AllowedFaults    []string
	MaxFaultDuration time.Duration
	// IndependentDraws has callers draw each operation independently, and go
	// on in a transaction whose end failed, as they did when some of the kept
	// seeds were found. Otherwise they shuffle the operations, so that the
	// load is level, and leave after such an end.
	IndependentDraws bool
	// Script, where given, is run in place of random faults.
	Script func(*fleet)
}

// SmallConfig gives a fleet with three control servers and one database.
func SmallConfig() Config {
	return Config{
		Controls: 3, Nodes: 5, Databases: 1, Callers: 24, Connections: 24, Slots: 4,
		WarmUp: 8 * time.Second, FaultDuration: 20 * time.Second, RecoveryDuration: 18 * time.Second,
	}
}

// LargeConfig gives a fleet with five control servers and two databases.
func LargeConfig() Config {
	config := SmallConfig()
	config.Controls, config.Nodes, config.Databases = 5, 4, 2
	return config
}
