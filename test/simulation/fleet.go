package simulation

import (
	"fmt"
	"time"

	"tansyseam/internal/state/model"
)

const (
	instancesPerDatabase = 3
	// maxFollowUps is the maximum number of faults that are injected because the
	// writer role of a database moves.
	maxFollowUps = 4
	// defaultReplicationDelay and defaultServiceTime apply to instances without
	// a fault.
	defaultReplicationDelay = 2 * time.Millisecond
	defaultServiceTime      = 8 * time.Millisecond
)

var zones = []string{"za", "zb", "zc"}

// fleet is a simulated fleet with its callers, operators and platform.
type fleet struct {
	controlPlane
	defects      Defects
	config       Config
	nodes        []*node
	removedNodes map[string]bool
	instances    []*instance
	platform     *platform

	// newestSequence is the newest sequence number that an operator received,
	// acknowledgedSequence the newest one that was acknowledged to an operator.
	newestSequence       uint64
	acknowledgedSequence uint64
	// answeredReads counts the operators' reads of the newest set that were
	// answered.
	answeredReads int
	// loadFactor multiplies the load of the callers.
	loadFactor float64

	windows windowChecks
}

func newFleet(seed uint64, config Config, defects Defects) *fleet {
	f := &fleet{
		controlPlane: newControlPlane(newSimulator(seed), config.Controls, maxFollowUps),
		defects:      defects, config: config, loadFactor: 1, removedNodes: map[string]bool{},
	}
	f.backends = f
	f.createControls()
	for range config.Nodes {
		f.createNode()
	}
	for number := range config.Databases {
		f.createDatabase(fmt.Sprintf("db%d", number+1))
	}
	f.createPlatform()
	for _, instance := range f.instances {
		instance.start()
	}
	for _, control := range f.controls {
		control.start()
	}
	for _, node := range f.nodes {
		node.start()
	}
	return f
}

func (f *fleet) createNode() *node {
	created := &node{machine: newMachine(f.simulator, fmt.Sprintf("d%d", len(f.nodes)+1)), fleet: f, weight: 1}
	created.zone, created.crashHandler = zones[len(f.nodes)%len(zones)], created.onCrash
	f.nodes = append(f.nodes, created)
	return created
}

// createDatabase creates the primary of a database and the replicas that follow
// it, each in its own zone.
func (f *fleet) createDatabase(database string) {
	f.databases = append(f.databases, database)
	var primary *instance
	for rank := range instancesPerDatabase {
		name := instanceName(database, rank)
		created := &instance{
			machine: newMachine(f.simulator, name), fleet: f, database: database, role: model.RoleReplica, term: 1, incarnationName: name + ".0",
			upstream: primary, replicationDelay: defaultReplicationDelay, serviceTime: defaultServiceTime,
			slots: serviceSlots{limit: f.config.Slots}, claimsClean: f.defects.DirtyConnections,
		}
		created.zone, created.crashHandler = zones[rank], created.onCrash
		if rank == 0 {
			created.role, primary = model.RolePrimary, created
		}
		f.instances = append(f.instances, created)
	}
}

func instanceName(database string, rank int) string { return fmt.Sprintf("%s-%c", database, 'a'+rank) }

func (f *fleet) createPlatform() {
	f.platform = &platform{machine: newMachine(f.simulator, "platform"), fleet: f}
	f.platform.running = true
}

func (f *fleet) findNode(name string) *node {
	for _, node := range f.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}

func (f *fleet) findInstance(name string) *instance {
	for _, instance := range f.instances {
		if instance.name == name {
			return instance
		}
	}
	return nil
}

// instanceNames lists the instances in the order of their creation.
func (f *fleet) instanceNames() []string {
	var names []string
	for _, instance := range f.instances {
		names = append(names, instance.name)
	}
	return names
}

// writerRole returns the writer role of a database as recorded by the first node.
func (f *fleet) writerRole(database string) model.WriterRole {
	return f.nodes[0].pool.Routing().WriterRole(database)
}

// currentPrimary returns the primary of a database as recorded by the first node,
// or nil.
func (f *fleet) currentPrimary(database string) *instance {
	return f.findInstance(f.writerRole(database).Primary)
}
