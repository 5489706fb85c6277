package e2e

import "time"

// Scenario subjects a fleet under load to a fault or a change.
type Scenario struct {
	Name        string
	Description string
	Options     Options
	Run         func(*Run)
	// SettleTime is how long the load continues after Run has returned.
	SettleTime time.Duration
	// PlantedViolation is the name of the rule that this run must violate. Such a run
	// injects a defect to show that the load and the checks detect it.
	PlantedViolation string
}

// Scenarios returns the scenarios of real processes, in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Description: "load and nothing else", Run: runSteady},
		{Name: "change", Description: "binding sets replaced, scheduled, repeated, raced and broken", Run: runChange, SettleTime: 4 * time.Second},
		{Name: "restart", Description: "planned restart of each proxy in turn", Run: runRestart, SettleTime: time.Second},
		{Name: "restart-slow", Description: "a proxy stopped while long statements are out", Run: runSlowRestart, SettleTime: 3 * time.Second},
		{Name: "front-kill", Description: "a proxy killed and started again", Run: runProxyKill, SettleTime: 14 * time.Second},
		{Name: "primary-crash", Description: "a primary killed; it returns later", Run: runPrimaryCrash, SettleTime: 14 * time.Second},
		{Name: "primary-dark", Description: "a primary frozen, later thawed with writes in its sockets", Run: runPrimaryFreeze, SettleTime: 14 * time.Second},
		{Name: "primary-swap", Description: "a primary says it is leaving", Run: runPrimaryLeave, SettleTime: 14 * time.Second},
		{Name: "primary-lost", Description: "a primary vanishes for good and comes back blank", Run: runPrimaryDataLoss, SettleTime: 14 * time.Second},
		{
			Name: "platform-bad", Description: "a primary killed while the platform is slow, refuses, and loses its answer",
			Run: runPlatformFaults, SettleTime: 14 * time.Second,
		},
		{Name: "platform-cut", Description: "a primary killed while the platform is cut off for 4 s", Run: runPlatformPartition, SettleTime: 14 * time.Second},
		{Name: "replica-lag", Description: "a replica falls far behind while the primary dies", Run: runReplicaLag, SettleTime: 14 * time.Second},
		{Name: "replica-crash", Description: "a replica killed, back later", Run: runReplicaCrash, SettleTime: 6 * time.Second},
		{Name: "replace", Description: "replicas replaced one after another", Run: runReplicaReplacement, SettleTime: 3 * time.Second},
		{Name: "control-kill", Description: "the control primary killed, back later", Run: runControlKill, SettleTime: 3 * time.Second},
		{Name: "control-dark", Description: "the control primary frozen, later thawed", Run: runControlFreeze, SettleTime: 3 * time.Second},
		{Name: "control-disk", Description: "the control primary loses its data directory", Run: runControlDataLoss, SettleTime: 3 * time.Second},
		{Name: "control-all", Description: "all control processes gone for 4 s: the proxies hold", Run: runControlOutage, SettleTime: 6 * time.Second},
		{Name: "rush", Description: "eight times the callers' rate for 5 s", Run: runOverload, SettleTime: 14 * time.Second},
		{Name: "slow", Description: "a primary and a replica ten times slower for 5 s", Run: runSlowInstances, SettleTime: 14 * time.Second},
		{Name: "lose", Description: "answers lost after running, and sessions reset", Run: runLostAnswers, SettleTime: 2 * time.Second},
		{Name: "repeat", Description: "instances send answers twice, the second time up to 60 ms later", Run: runRepeatedAnswers, SettleTime: 2 * time.Second},
		{Name: "silent", Description: "a primary that answers but no longer announces", Run: runSilentPrimary, SettleTime: 2 * time.Second},
		{
			Name: "cut", Description: "a proxy cut off from the control primary, one way and both",
			Options: Options{Relays: true}, Run: runPartition, SettleTime: 4 * time.Second,
		},
		{
			Name: "drops", Description: "links between the fleet's own processes reset and lose pieces",
			Options: Options{Relays: true}, Run: runLossyLinks, SettleTime: 4 * time.Second,
		},
		{Name: "zone", Description: "all processes of one zone killed, back after 5 s", Run: runZoneOutage, SettleTime: 14 * time.Second},
		{
			Name: "calls", Description: "every call's answer against the schema, bad input of every kind, and the shell",
			Run: runCallChecks, SettleTime: time.Second,
		},
		{
			Name: "settings", Description: "settings changed with and without a signal, and broken",
			Options: Options{ConfigFiles: true}, Run: runSettings, SettleTime: time.Second,
		},
		{Name: "grow", Description: "a proxy added under load, another taken away", Run: runScaling, SettleTime: 2 * time.Second},
		{
			Name: "planted-kill", Description: "proxies killed in the middle of work and called restarted as planned",
			PlantedViolation: "planned restart cuts a request off", Run: runPlantedKill, SettleTime: time.Second,
		},
		{
			Name: "planted-unclean", Description: "instances call sessions with state clean: other clients must be seen to meet it",
			PlantedViolation: "statement in another's transaction or settings", Run: runPlantedUnclean, SettleTime: time.Second,
		},
		{Name: "frozen-front", Description: "a proxy frozen past its lease, thawed after changes", Run: runProxyFreeze, SettleTime: 4 * time.Second},
	}
}

// pointerTo returns a pointer to a copy of a value.
func pointerTo[T any](value T) *T { return &value }
