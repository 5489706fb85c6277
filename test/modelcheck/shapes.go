package modelcheck

import (
	"slices"
	"time"
)

// Rounds that are longer than the pace of renewals, and of those that play long
// enough for a voter to be replaced.
const (
	coarse  = 200 * time.Millisecond
	lasting = 300 * time.Millisecond
)

// Shapes is what is searched with each test run.
func Shapes() []Shape {
	return []Shape{
		{Machines: 3, Faults: 1, Wipes: 1, Rounds: 7, Writes: 2, Copies: 2},
		{Machines: 5, Faults: 1, Wipes: 1, Round: coarse, Rounds: 5, Writes: 1, Copies: 2},
		{Machines: 3, Faults: 2, Wipes: 1, Round: coarse, Rounds: 6, Writes: 1, Copies: 2, Only: []string{"killed", "wiped"}, At: []string{"c1", "c2"}},
		{Machines: 3, Faults: 2, Wipes: 1, Round: coarse, Rounds: 6, Writes: 1, Copies: 2, Only: []string{"frozen", "cut off", "disk hangs"}, At: []string{"c1", "c3"}},
		{Machines: 5, Faults: 2, Wipes: 2, Round: coarse, Rounds: 4, Writes: 1, Copies: 2, Only: []string{"wiped"}, At: []string{"c2", "c3"}},
		{Machines: 5, Faults: 2, Wipes: 2, Round: coarse, Rounds: 6, Writes: 1, Copies: 3, Only: []string{"wiped"}, At: []string{"c1", "c2"}},
		{Machines: 3, Faults: 3, Round: coarse, Rounds: 6, Copies: 2, Only: []string{"cut off", "disk hangs"}, At: []string{"c1", "c2"}},
		{Machines: 3, Faults: 3, Round: coarse, Rounds: 9, Copies: 2, Only: []string{"cut off", "lost"}, At: []string{"c1"}},
		{Machines: 3, Standbys: 1, Faults: 2, Wipes: 2, Round: lasting, Rounds: 11, Writes: 1, Copies: 2, Only: []string{"killed", "wiped"}, At: []string{"c1", "c3"}, IsSpaced: true},
		{Machines: 3, Standbys: 1, Faults: 2, Round: lasting, Rounds: 11, Writes: 1, Copies: 2, Only: []string{"killed", "told to end"}, At: []string{"c1", "c2"}, IsSpaced: true},
		{Machines: 5, Standbys: 1, Faults: 1, Wipes: 1, Round: lasting, Rounds: 12, Writes: 1, Copies: 3, Only: []string{"killed", "wiped", "told to end"}, At: []string{"c1", "c2", "c3"}, IsSpaced: true},
	}
}

// Deeper is what is searched by command.
func Deeper() []Shape {
	hosts := []string{"killed", "frozen", "cut off", "disk hangs", "wiped"}
	return []Shape{
		{Machines: 3, Standbys: 1, Faults: 1, Wipes: 1, Round: lasting, Rounds: 20, Writes: 2, Copies: 2},
		{Machines: 3, Standbys: 1, Faults: 2, Wipes: 2, Round: lasting, Rounds: 22, Writes: 1, Copies: 2, Only: append(slices.Clone(hosts), "told to end"), IsSpaced: true},
		{Machines: 3, Standbys: 2, Faults: 2, Round: lasting, Rounds: 22, Writes: 1, Copies: 2, Only: []string{"killed", "told to end"}, IsSpaced: true},
		{Machines: 3, Standbys: 1, Faults: 4, Wipes: 1, Round: lasting, Rounds: 16, Copies: 2, Only: []string{"cut off", "lost", "late", "killed", "wiped"}, At: []string{"c1", "c3"}},
		{Machines: 5, Standbys: 1, Faults: 2, Wipes: 2, Round: lasting, Rounds: 16, Writes: 1, Copies: 3, Only: []string{"killed", "wiped", "told to end"}, IsSpaced: true},
		{Machines: 3, Faults: 1, Wipes: 1, Rounds: 30, Writes: 3, Copies: 2},
		{Machines: 5, Faults: 1, Wipes: 1, Rounds: 16, Writes: 2, Copies: 2},
		{Machines: 3, Faults: 2, Wipes: 1, Round: coarse, Rounds: 8, Writes: 2, Copies: 2},
		{Machines: 3, Faults: 2, Wipes: 1, Rounds: 14, Writes: 1, Copies: 2, Only: hosts},
		{Machines: 3, Faults: 3, Wipes: 1, Round: coarse, Rounds: 8, Writes: 1, Copies: 2, Only: hosts},
		{Machines: 5, Faults: 3, Wipes: 1, Round: coarse, Rounds: 9, Writes: 1, Copies: 2, Only: []string{"killed", "wiped"}, At: []string{"c1", "c2"}},
		{Machines: 5, Faults: 2, Wipes: 2, Round: coarse, Rounds: 12, Writes: 1, Copies: 2, Only: []string{"wiped"}},
		{Machines: 5, Faults: 3, Wipes: 2, Round: coarse, Rounds: 10, Writes: 1, Copies: 2, Only: []string{"wiped", "killed"}, At: []string{"c2", "c3"}},
		{Machines: 5, Faults: 2, Wipes: 2, Round: coarse, Rounds: 10, Writes: 2, Copies: 3, Only: []string{"wiped"}},
		{Machines: 5, Faults: 3, Wipes: 2, Round: coarse, Rounds: 10, Writes: 1, Copies: 3, Only: []string{"wiped", "killed"}, At: []string{"c1", "c2", "c3"}},
	}
}
