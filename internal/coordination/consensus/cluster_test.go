package consensus

import (
	"fmt"
	"slices"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/store"
)

// cluster runs several nodes and delivers their messages immediately.
type cluster struct {
	now          time.Duration
	machines     map[string]*Machine
	up           map[string]bool
	results      map[uint64]SubmitResult
	epochChanges int
	onSend       func(from, to string, body any)
	// isLost reports whether the next message is lost. If it is nil, none is.
	isLost func() bool
}

func address(name string) string { return name + ":1" }

func newCluster(names []string, bootstrap func(name string) BootstrapConfig) *cluster {
	c := &cluster{now: time.Hour, machines: map[string]*Machine{}, up: map[string]bool{}, results: map[uint64]SubmitResult{}}
	for _, name := range names {
		c.machines[name] = NewWithBootstrap(name, bootstrap(name), DefaultTiming(), PersistentState{}, c.now)
		c.up[name] = true
	}
	return c
}

func (c *cluster) apply(name string, effects []Effect) {
	for _, effect := range effects {
		if result, ok := effect.(SubmitResult); ok {
			c.results[result.Token] = result
		}
		if changed, ok := effect.(EpochChanged); ok {
			c.epochChanges++
			So(changed.Table, ShouldNotBeNil)
		}
		if send, ok := effect.(Send); ok && c.up[send.To] && c.up[name] && (c.isLost == nil || !c.isLost()) {
			if c.onSend != nil {
				c.onSend(name, send.To, send.Body)
			}
			c.step(send.To, Received{From: name, Body: send.Body})
		}
	}
}

func (c *cluster) step(name string, event any) { c.apply(name, c.machines[name].Step(event, c.now)) }

func (c *cluster) upNodes() []string {
	var names []string
	for name, up := range c.up {
		if up {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *cluster) run(span time.Duration) {
	for until := c.now + span; c.now < until; c.now += 20 * time.Millisecond {
		peers := Peers{ByAddress: map[string]string{}}
		for _, name := range c.upNodes() {
			peers.Names = append(peers.Names, name)
			peers.ByAddress[address(name)] = name
		}
		for _, name := range c.upNodes() {
			c.step(name, peers)
			c.step(name, Tick{WallNanos: int64(c.now)})
		}
	}
}

func (c *cluster) primary() string {
	for _, name := range c.upNodes() {
		if c.machines[name].IsPrimary(c.now) {
			return name
		}
	}
	return ""
}

func (c *cluster) submit(token uint64) {
	if primary := c.primary(); primary != "" {
		c.step(primary, Submit{Token: token, Build: func(*store.Table) []store.Put {
			return []store.Put{{Key: fmt.Sprint(token), Data: []byte("x")}}
		}})
	}
}

// replicasWith returns the number of replicas that contain a write.
func (c *cluster) replicasWith(token uint64) int {
	count := 0
	for _, machine := range c.machines {
		if _, ok := machine.ReplicaTable().Records[fmt.Sprint(token)]; ok {
			count++
		}
	}
	return count
}

// submitChange submits a write to the primary that changes one of the given number of
// keys.
func (c *cluster) submitChange(number, keys int) {
	c.step(c.primary(), Submit{Token: uint64(1000 + number), Build: func(*store.Table) []store.Put {
		return []store.Put{{Key: fmt.Sprint("key", number%keys), Data: []byte(fmt.Sprintf("%06d", number))}}
	}})
}

// catchUpTime is the time within which a node must be repaired and vote after its
// start.
const catchUpTime = 4 * time.Second

// newFormedCluster returns a formed cluster, and the function that returns the
// BootstrapConfig of its nodes. The voters argument is the number of its nodes, all of
// which vote. They have the first of the given names.
func newFormedCluster(voters int, names ...string) (*cluster, func(string) BootstrapConfig) {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, address(names[i]))
	}
	bootstrap := func(string) BootstrapConfig {
		return BootstrapConfig{Voters: voters, MayBootstrap: true, RequireBackup: true, Seeds: seeds}
	}
	c := newCluster(names[:voters], bootstrap)
	c.run(6 * time.Second)
	So(c.primary(), ShouldNotBeEmpty)
	return c, bootstrap
}

// startBlankNode starts a node with a blank disk.
func (c *cluster) startBlankNode(bootstrap func(string) BootstrapConfig, name string) {
	blank := bootstrap(name)
	blank.MayBootstrap = false
	c.machines[name] = NewWithBootstrap(name, blank, DefaultTiming(), PersistentState{}, c.now)
	c.up[name] = true
}

func (c *cluster) submitAndCommit(token uint64) bool {
	c.submit(token)
	c.run(time.Second)
	return c.results[token].Committed
}

// witness returns a voter that is neither primary nor backup.
func (c *cluster) witness() string {
	record := c.machines[c.primary()].Record()
	for _, name := range record.Voters.Names() {
		if name != record.Primary && name != record.Backup {
			return name
		}
	}
	return ""
}

// nodeByRole maps each role to a function that returns the node with that role.
var nodeByRole = map[string]func(c *cluster) string{
	"primary": func(c *cluster) string { return c.primary() },
	"backup":  func(c *cluster) string { return c.machines[c.primary()].Record().Backup },
	"witness": func(c *cluster) string { return c.witness() },
}

// newFiveVoterCluster returns a formed cluster of c1 to c5, all of which vote.
func newFiveVoterCluster() (*cluster, func(name string) BootstrapConfig) {
	bootstrap := func(string) BootstrapConfig {
		return BootstrapConfig{Voters: 5, MayBootstrap: true, RequireBackup: true, Seeds: []string{address("c1"), address("c2"), address("c3")}}
	}
	c := newCluster([]string{"c1", "c2", "c3", "c4", "c5"}, bootstrap)
	c.run(6 * time.Second)
	So(c.primary(), ShouldNotBeEmpty)
	return c, bootstrap
}

// wipeDisks restarts nodes with blank disks.
func (c *cluster) wipeDisks(bootstrap func(string) BootstrapConfig, names ...string) {
	for _, name := range names {
		blank := bootstrap(name)
		blank.MayBootstrap = false
		c.machines[name] = NewWithBootstrap(name, blank, DefaultTiming(), PersistentState{}, c.now)
	}
}
