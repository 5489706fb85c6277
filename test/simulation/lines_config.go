package simulation

import "time"

// LineDefects are put on purpose into what surrounds the machines of a fleet
// of line sessions, to show that the checks find them.
type LineDefects struct {
	// AlteredTexts has nodes change the texts of statements.
	AlteredTexts bool
	// SwappedAnswers has nodes answer with another client's answer.
	SwappedAnswers bool
	// IgnoredResets has instances not carry out resets of sessions.
	IgnoredResets bool
	// DuplicatedWrites has nodes send single writes twice.
	DuplicatedWrites bool
	// UnknownReportedAsBusy has nodes answer BUSY in place of UNKNOWN.
	UnknownReportedAsBusy bool
	// DroppedMinPositions has nodes lose the positions that statements must
	// see.
	DroppedMinPositions bool
	// OverlongLeases makes each lease that a node receives a hundred times
	// longer.
	OverlongLeases bool
	// PromoteWorstReplica has failovers promote the replica that is furthest
	// behind.
	PromoteWorstReplica bool
	// IgnoreLeaving hides from nodes that an instance is leaving.
	IgnoreLeaving bool
	// AbruptStop has a node that is stopped end all sessions at once.
	AbruptStop bool
	// NoUpdatesAfterRestart has a restarted node ask for no updates.
	NoUpdatesAfterRestart bool
	// LateAnswers passes answers to a node's pool as if they came later.
	LateAnswers bool
	// WrongWeight gives nodes the weight of another.
	WrongWeight bool
}

// LineConfig is the size of a simulated fleet of line sessions, and what
// befalls it.
type LineConfig struct {
	Controls, Nodes, Databases, Clients int
	// Connections and Slots are those of each instance.
	Connections, Slots int
	// FaultDuration is how long faults are injected; RecoveryDuration follows
	// without any.
	FaultDuration, RecoveryDuration time.Duration
	// FencesChecked says that control relies on the platform to check fencing
	// tokens.
	FencesChecked bool
	// MaxFaultInterval is the longest time from one fault to the next; 0 for
	// 3 s.
	MaxFaultInterval time.Duration
	// AllowedFaults, where given, names the faults that may be injected, and
	// MaxFaultDuration bounds them then.
	AllowedFaults    []string
	MaxFaultDuration time.Duration
	// StaleLatencyTarget is the latency target of the bindings that may be
	// stale; 0 for that of the others, 200 ms.
	StaleLatencyTarget time.Duration
	// Script, where given, is run in place of random faults.
	Script func(*lineFleet)
}

// SmallLineConfig gives a fleet with three control servers and three nodes.
func SmallLineConfig() LineConfig {
	return LineConfig{
		FencesChecked: true, Controls: 3, Nodes: 3, Databases: 2, Clients: 20, Connections: 24, Slots: 6,
		FaultDuration: 20 * time.Second, RecoveryDuration: 18 * time.Second,
	}
}

// CrowdedLineConfig gives a fleet with more nodes than an instance takes
// connections.
func CrowdedLineConfig() LineConfig {
	return LineConfig{
		Controls: 3, Nodes: 14, Databases: 2, Clients: 20, Connections: 11, Slots: 6,
		FaultDuration: 12 * time.Second, RecoveryDuration: 18 * time.Second,
	}
}

// LargeLineConfig gives a fleet with five control servers, and more nodes and
// more faults at once.
func LargeLineConfig() LineConfig {
	return LineConfig{
		Controls: 5, Nodes: 5, Databases: 2, Clients: 36, Connections: 40, Slots: 6,
		FaultDuration: 24 * time.Second, RecoveryDuration: 18 * time.Second, MaxFaultInterval: 1500 * time.Millisecond,
	}
}
