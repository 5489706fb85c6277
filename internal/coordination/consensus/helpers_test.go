package consensus

import (
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/store"
)

var fiveNodes = []string{"c1", "c2", "c3", "c4", "c5"}

// newMachine returns a node of a cluster with exactly the given number of voters.
func newMachine(self string, voters int, timing Timing, saved PersistentState, now time.Duration) *Machine {
	return NewWithBootstrap(self, BootstrapConfig{ExactVoters: voters}, timing, saved, now)
}

// newFormedMachine returns node c1, c2 or c3 of a formed cluster, which is the primary,
// the backup or a witness, respectively.
func newFormedMachine(self string, now time.Duration) *Machine {
	voters := []string{"c1", "c2", "c3"}
	return newMachine(self, len(voters), DefaultTiming(), PersistentState{
		Identity:   &Identity{Cluster: "x", Self: self, Voters: voters, Formed: true},
		VoterState: &VoterState{Sequence: 1, Decided: Record{Epoch: 4, Primary: "c1", Backup: "c2"}}, Table: store.New(),
	}, now)
}

// newBlankMachine returns a node with a blank disk that has asked the other nodes for
// their status.
func newBlankMachine(self string, now time.Duration) *Machine {
	m := newMachine(self, len(fiveNodes), DefaultTiming(), PersistentState{}, now)
	m.Step(Peers{Names: fiveNodes}, now)
	So(len(bodiesSent[StatusRequest](m.Step(Tick{WallNanos: 77}, now))), ShouldBeGreaterThanOrEqualTo, len(fiveNodes)-1)
	return m
}

// bodiesSent returns the messages of one type among the effects.
func bodiesSent[T any](effects []Effect) []T {
	var bodies []T
	for _, effect := range effects {
		if send, ok := effect.(Send); ok {
			if body, ok := send.Body.(T); ok {
				bodies = append(bodies, body)
			}
		}
	}
	return bodies
}

// putKey returns a Submit.Build that sets one key.
func putKey(key string) func(*store.Table) []store.Put {
	return func(*store.Table) []store.Put { return []store.Put{{Key: key, Data: []byte("x")}} }
}

func boolInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
