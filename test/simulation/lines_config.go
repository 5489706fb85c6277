package simulation

import "time"

// LineDefects are defects planted in the simulated surroundings of the product's
// state machines in a fleet of line sessions. Tests plant them to show that the
// checks find them.
type LineDefects struct {
	// AlteredTexts makes nodes change the texts of statements.
	AlteredTexts bool
	// SwappedAnswers makes nodes send a client the answer of another query.
	SwappedAnswers bool
	// IgnoredResets makes instances ignore resets of sessions.
	IgnoredResets bool
	// DuplicatedWrites makes nodes send writes outside of transactions twice.
	DuplicatedWrites bool
	// UnknownReportedAsBusy makes nodes answer BUSY in place of UNKNOWN.
	UnknownReportedAsBusy bool
	// DroppedMinPositions makes nodes drop the minimum positions that
	// statements require of an instance.
	DroppedMinPositions bool
	// OverlongLeases makes each lease that a node receives a hundred times
	// longer.
	OverlongLeases bool
	// PromoteWorstReplica makes failovers promote the replica that is furthest
	// behind.
	PromoteWorstReplica bool
	// IgnoreLeaving hides from nodes that an instance is leaving.
	IgnoreLeaving bool
	// AbruptStop makes a node end all sessions at once when a planned stop
	// begins.
	AbruptStop bool
	// NoUpdatesAfterRestart makes a restarted node request no updates.
	NoUpdatesAfterRestart bool
	// LateAnswers passes answers to a node's pool with a later time than that
	// of their arrival.
	LateAnswers bool
	// WrongWeight makes nodes use a wrong weight.
	WrongWeight bool
}

// LineConfig is the size of a simulated fleet of line sessions, and the choice
// of its faults.
type LineConfig struct {
	Controls, Nodes, Databases, Clients int
	// Connections and Slots are the limits of each instance.
	Connections, Slots int
	// FaultDuration is the length of the span in which faults are injected.
	// RecoveryDuration is the length of the span without faults that follows.
	FaultDuration, RecoveryDuration time.Duration
	// FencesChecked is true if control relies on the platform to check fencing
	// tokens.
	FencesChecked bool
	// MaxFaultInterval is the longest time from one fault to the next; 0 means
	// 3 s.
	MaxFaultInterval time.Duration
	// AllowedFaults names the faults that may be injected; all faults if it is
	// empty. MaxFaultDuration limits their duration, and applies only if
	// AllowedFaults is not empty.
	AllowedFaults    []string
	MaxFaultDuration time.Duration
	// StaleLatencyTarget is the latency target of the bindings that permit
	// stale reads; 0 means that of the other bindings, 200 ms.
	StaleLatencyTarget time.Duration
	// Script replaces the random faults; nil for random faults.
	Script func(*lineFleet)
}

// SmallLineConfig returns the configuration of a fleet with three control servers
// and three nodes.
func SmallLineConfig() LineConfig {
	return LineConfig{
		FencesChecked: true, Controls: 3, Nodes: 3, Databases: 2, Clients: 20, Connections: 24, Slots: 6,
		FaultDuration: 20 * time.Second, RecoveryDuration: 18 * time.Second,
	}
}

// CrowdedLineConfig returns the configuration of a fleet that has more nodes than
// an instance accepts connections.
func CrowdedLineConfig() LineConfig {
	return LineConfig{
		Controls: 3, Nodes: 14, Databases: 2, Clients: 20, Connections: 11, Slots: 6,
		FaultDuration: 12 * time.Second, RecoveryDuration: 18 * time.Second,
	}
}

// LargeLineConfig returns the configuration of a fleet with five control servers,
// and with more nodes and shorter intervals between faults than that of
// SmallLineConfig.
func LargeLineConfig() LineConfig {
	return LineConfig{
		Controls: 5, Nodes: 5, Databases: 2, Clients: 36, Connections: 40, Slots: 6,
		FaultDuration: 24 * time.Second, RecoveryDuration: 18 * time.Second, MaxFaultInterval: 1500 * time.Millisecond,
	}
}
