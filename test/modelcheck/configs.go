package modelcheck

import (
	"slices"
	"time"
)

// Rounds that are longer than the pace of renewals, and of those that play long
// enough for a voter to be replaced.
const (
	coarseRound = 200 * time.Millisecond
	longRound   = 300 * time.Millisecond
)

// Shapes is what is searched with each test run.
func TestConfigs() []Config {
	return []Config{
		{Machines: 3, MaxFaults: 1, MaxWipes: 1, Rounds: 7, Writes: 2, RequiredReplicas: 2},
		{Machines: 5, MaxFaults: 1, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 5, Writes: 1, RequiredReplicas: 2},
		{Machines: 3, MaxFaults: 2, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 6, Writes: 1, RequiredReplicas: 2, AllowedFaults: []string{"killed", "wiped"}, FaultHosts: []string{"c1", "c2"}},
		{Machines: 3, MaxFaults: 2, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 6, Writes: 1, RequiredReplicas: 2, AllowedFaults: []string{"frozen", "cut off", "disk hangs"}, FaultHosts: []string{"c1", "c3"}},
		{Machines: 5, MaxFaults: 2, MaxWipes: 2, RoundDuration: coarseRound, Rounds: 4, Writes: 1, RequiredReplicas: 2, AllowedFaults: []string{"wiped"}, FaultHosts: []string{"c2", "c3"}},
		{Machines: 5, MaxFaults: 2, MaxWipes: 2, RoundDuration: coarseRound, Rounds: 6, Writes: 1, RequiredReplicas: 3, AllowedFaults: []string{"wiped"}, FaultHosts: []string{"c1", "c2"}},
		{Machines: 3, MaxFaults: 3, RoundDuration: coarseRound, Rounds: 6, RequiredReplicas: 2, AllowedFaults: []string{"cut off", "disk hangs"}, FaultHosts: []string{"c1", "c2"}},
		{Machines: 3, MaxFaults: 3, RoundDuration: coarseRound, Rounds: 9, RequiredReplicas: 2, AllowedFaults: []string{"cut off", "lost"}, FaultHosts: []string{"c1"}},
		{Machines: 3, Standbys: 1, MaxFaults: 2, MaxWipes: 2, RoundDuration: longRound, Rounds: 11, Writes: 1, RequiredReplicas: 2, AllowedFaults: []string{"killed", "wiped"}, FaultHosts: []string{"c1", "c3"}, FaultsWhenHealthyOnly: true},
		{Machines: 3, Standbys: 1, MaxFaults: 2, RoundDuration: longRound, Rounds: 11, Writes: 1, RequiredReplicas: 2, AllowedFaults: []string{"killed", "told to end"}, FaultHosts: []string{"c1", "c2"}, FaultsWhenHealthyOnly: true},
		{Machines: 5, Standbys: 1, MaxFaults: 1, MaxWipes: 1, RoundDuration: longRound, Rounds: 12, Writes: 1, RequiredReplicas: 3, AllowedFaults: []string{"killed", "wiped", "told to end"}, FaultHosts: []string{"c1", "c2", "c3"}, FaultsWhenHealthyOnly: true},
	}
}

// Deeper is what is searched by command.
func DeepConfigs() []Config {
	hosts := []string{"killed", "frozen", "cut off", "disk hangs", "wiped"}
	return []Config{
		{Machines: 3, Standbys: 1, MaxFaults: 1, MaxWipes: 1, RoundDuration: longRound, Rounds: 20, Writes: 2, RequiredReplicas: 2},
		{Machines: 3, Standbys: 1, MaxFaults: 2, MaxWipes: 2, RoundDuration: longRound, Rounds: 22, Writes: 1, RequiredReplicas: 2, AllowedFaults: append(slices.Clone(hosts), "told to end"), FaultsWhenHealthyOnly: true},
		{Machines: 3, Standbys: 2, MaxFaults: 2, RoundDuration: longRound, Rounds: 22, Writes: 1, RequiredReplicas: 2, AllowedFaults: []string{"killed", "told to end"}, FaultsWhenHealthyOnly: true},
		{Machines: 3, Standbys: 1, MaxFaults: 4, MaxWipes: 1, RoundDuration: longRound, Rounds: 16, RequiredReplicas: 2, AllowedFaults: []string{"cut off", "lost", "late", "killed", "wiped"}, FaultHosts: []string{"c1", "c3"}},
		{Machines: 5, Standbys: 1, MaxFaults: 2, MaxWipes: 2, RoundDuration: longRound, Rounds: 16, Writes: 1, RequiredReplicas: 3, AllowedFaults: []string{"killed", "wiped", "told to end"}, FaultsWhenHealthyOnly: true},
		{Machines: 3, MaxFaults: 1, MaxWipes: 1, Rounds: 30, Writes: 3, RequiredReplicas: 2},
		{Machines: 5, MaxFaults: 1, MaxWipes: 1, Rounds: 16, Writes: 2, RequiredReplicas: 2},
		{Machines: 3, MaxFaults: 2, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 8, Writes: 2, RequiredReplicas: 2},
		{Machines: 3, MaxFaults: 2, MaxWipes: 1, Rounds: 14, Writes: 1, RequiredReplicas: 2, AllowedFaults: hosts},
		{Machines: 3, MaxFaults: 3, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 8, Writes: 1, RequiredReplicas: 2, AllowedFaults: hosts},
		{Machines: 5, MaxFaults: 3, MaxWipes: 1, RoundDuration: coarseRound, Rounds: 9, Writes: 1, RequiredReplicas: 2, AllowedFaults: []string{"killed", "wiped"}, FaultHosts: []string{"c1", "c2"}},
		{Machines: 5, MaxFaults: 2, MaxWipes: 2, RoundDuration: coarseRound, Rounds: 12, Writes: 1, RequiredReplicas: 2, AllowedFaults: []string{"wiped"}},
		{Machines: 5, MaxFaults: 3, MaxWipes: 2, RoundDuration: coarseRound, Rounds: 10, Writes: 1, RequiredReplicas: 2, AllowedFaults: []string{"wiped", "killed"}, FaultHosts: []string{"c2", "c3"}},
		{Machines: 5, MaxFaults: 2, MaxWipes: 2, RoundDuration: coarseRound, Rounds: 10, Writes: 2, RequiredReplicas: 3, AllowedFaults: []string{"wiped"}},
		{Machines: 5, MaxFaults: 3, MaxWipes: 2, RoundDuration: coarseRound, Rounds: 10, Writes: 1, RequiredReplicas: 3, AllowedFaults: []string{"wiped", "killed"}, FaultHosts: []string{"c1", "c2", "c3"}},
	}
}
