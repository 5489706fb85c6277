package modelcheck

import (
	"slices"
	"time"
)

const (
	// coarseRound is longer than the lease renewal interval, which makes a search
	// shorter.
	coarseRound = 200 * time.Millisecond
	// longRound is for searches that continue until a voter is replaced.
	longRound = 300 * time.Millisecond
)

// QuickConfigs returns the searches that each run of the tests performs.
func QuickConfigs() []Config {
	return []Config{
		{Voters: 3, MaxFaults: 1, MaxWipes: 1, Rounds: 7, Writes: 2, RequiredReplicas: 2},
		{Voters: 5, MaxFaults: 1, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 5, Writes: 1, RequiredReplicas: 2},
		{
			Voters: 3, MaxFaults: 2, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 6, Writes: 1, RequiredReplicas: 2,
			AllowedFaults: []Fault{Killed, Wiped}, FaultHosts: []string{"c1", "c2"},
		},
		{
			Voters: 3, MaxFaults: 2, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 6, Writes: 1, RequiredReplicas: 2,
			AllowedFaults: []Fault{Frozen, Isolated, DiskHangs}, FaultHosts: []string{"c1", "c3"},
		},
		{
			Voters: 5, MaxFaults: 2, MaxWipes: 2, RoundDuration: coarseRound, Rounds: 4, Writes: 1, RequiredReplicas: 2,
			AllowedFaults: []Fault{Wiped}, FaultHosts: []string{"c2", "c3"},
		},
		{
			Voters: 5, MaxFaults: 2, MaxWipes: 2, RoundDuration: coarseRound, Rounds: 6, Writes: 1, RequiredReplicas: 3,
			AllowedFaults: []Fault{Wiped}, FaultHosts: []string{"c1", "c2"},
		},
		{
			Voters: 3, MaxFaults: 3, RoundDuration: coarseRound, Rounds: 6, RequiredReplicas: 2,
			AllowedFaults: []Fault{Isolated, DiskHangs}, FaultHosts: []string{"c1", "c2"},
		},
		{
			Voters: 3, MaxFaults: 3, RoundDuration: coarseRound, Rounds: 9, RequiredReplicas: 2,
			AllowedFaults: []Fault{Isolated, MessageLost}, FaultHosts: []string{"c1"},
		},
		{
			Voters: 3, Standbys: 1, MaxFaults: 2, MaxWipes: 2, RoundDuration: longRound, Rounds: 11, Writes: 1, RequiredReplicas: 2,
			AllowedFaults: []Fault{Killed, Wiped}, FaultHosts: []string{"c1", "c3"}, FaultsWhenHealthyOnly: true,
		},
		{
			Voters: 3, Standbys: 1, MaxFaults: 2, RoundDuration: longRound, Rounds: 11, Writes: 1, RequiredReplicas: 2,
			AllowedFaults: []Fault{Killed, Leaving}, FaultHosts: []string{"c1", "c2"}, FaultsWhenHealthyOnly: true,
		},
		{
			Voters: 5, Standbys: 1, MaxFaults: 1, MaxWipes: 1, RoundDuration: longRound, Rounds: 12, Writes: 1, RequiredReplicas: 3,
			AllowedFaults: []Fault{Killed, Wiped, Leaving}, FaultHosts: []string{"c1", "c2", "c3"}, FaultsWhenHealthyOnly: true,
		},
	}
}

// DeepConfigs returns the deeper searches, which only the command modelcheck performs.
func DeepConfigs() []Config {
	hostFaults := []Fault{Killed, Frozen, Isolated, DiskHangs, Wiped}
	return []Config{
		{Voters: 3, Standbys: 1, MaxFaults: 1, MaxWipes: 1, RoundDuration: longRound, Rounds: 20, Writes: 2, RequiredReplicas: 2},
		{
			Voters: 3, Standbys: 1, MaxFaults: 2, MaxWipes: 2, RoundDuration: longRound, Rounds: 22, Writes: 1, RequiredReplicas: 2,
			AllowedFaults: append(slices.Clone(hostFaults), Leaving), FaultsWhenHealthyOnly: true,
		},
		{
			Voters: 3, Standbys: 2, MaxFaults: 2, RoundDuration: longRound, Rounds: 22, Writes: 1, RequiredReplicas: 2,
			AllowedFaults: []Fault{Killed, Leaving}, FaultsWhenHealthyOnly: true,
		},
		{
			Voters: 3, Standbys: 1, MaxFaults: 4, MaxWipes: 1, RoundDuration: longRound, Rounds: 16, RequiredReplicas: 2,
			AllowedFaults: []Fault{Isolated, MessageLost, MessageDelayed, Killed, Wiped}, FaultHosts: []string{"c1", "c3"},
		},
		{
			Voters: 5, Standbys: 1, MaxFaults: 2, MaxWipes: 2, RoundDuration: longRound, Rounds: 16, Writes: 1, RequiredReplicas: 3,
			AllowedFaults: []Fault{Killed, Wiped, Leaving}, FaultsWhenHealthyOnly: true,
		},
		{Voters: 3, MaxFaults: 1, MaxWipes: 1, Rounds: 30, Writes: 3, RequiredReplicas: 2},
		{Voters: 5, MaxFaults: 1, MaxWipes: 1, Rounds: 16, Writes: 2, RequiredReplicas: 2},
		{Voters: 3, MaxFaults: 2, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 8, Writes: 2, RequiredReplicas: 2},
		{Voters: 3, MaxFaults: 2, MaxWipes: 1, Rounds: 14, Writes: 1, RequiredReplicas: 2, AllowedFaults: hostFaults},
		{
			Voters: 3, MaxFaults: 3, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 8, Writes: 1, RequiredReplicas: 2,
			AllowedFaults: hostFaults,
		},
		{
			Voters: 5, MaxFaults: 3, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 9, Writes: 1, RequiredReplicas: 2,
			AllowedFaults: []Fault{Killed, Wiped}, FaultHosts: []string{"c1", "c2"},
		},
		{
			Voters: 5, MaxFaults: 2, MaxWipes: 2, RoundDuration: coarseRound, Rounds: 12, Writes: 1, RequiredReplicas: 2,
			AllowedFaults: []Fault{Wiped},
		},
		{
			Voters: 5, MaxFaults: 3, MaxWipes: 2, RoundDuration: coarseRound, Rounds: 10, Writes: 1, RequiredReplicas: 2,
			AllowedFaults: []Fault{Wiped, Killed}, FaultHosts: []string{"c2", "c3"},
		},
		{
			Voters: 5, MaxFaults: 2, MaxWipes: 2, RoundDuration: coarseRound, Rounds: 10, Writes: 2, RequiredReplicas: 3,
			AllowedFaults: []Fault{Wiped},
		},
		{
			Voters: 5, MaxFaults: 3, MaxWipes: 2, RoundDuration: coarseRound, Rounds: 10, Writes: 1, RequiredReplicas: 3,
			AllowedFaults: []Fault{Wiped, Killed}, FaultHosts: []string{"c1", "c2", "c3"},
		},
	}
}
