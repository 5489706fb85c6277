package simulation

import (
	"fmt"
	"strings"
	"time"

	"tansyseam/internal/state/model"
)

const (
	maxLineFollowUps            = 8
	defaultLineReplicationDelay = 2 * time.Millisecond
	defaultLineServiceTime      = 5 * time.Millisecond
)

// lineFleet is a fleet of line sessions, with its clients, operators and
// platform. Its instances replicate synchronously.
type lineFleet struct {
	controlPlane
	defects            LineDefects
	config             LineConfig
	nodes              []*lineNode
	instances          []*lineInstance
	instancesByAddress map[string]*lineInstance
	clients            []*lineClient
	platform           *linePlatform
	checker            *lineChecker
	// newestTerms has the newest term of each database.
	newestTerms map[string]uint64
	// faultyUntil is when the last fault so far ends.
	faultyUntil time.Duration
	// lastNumber numbers queries and instances.
	lastNumber int
	// lastStamp is what the defect SwappedAnswers answers with.
	lastStamp string
	// replicaReplaced has the databases that lost a replica for good.
	replicaReplaced map[string]bool

	windows windowChecks
}

func newLineFleet(seed uint64, config LineConfig, defects LineDefects) *lineFleet {
	s := newSimulator(seed)
	l := &lineFleet{
		controlPlane: newControlPlane(s, config.Controls, maxLineFollowUps), defects: defects, config: config, checker: newLineChecker(s),
		instancesByAddress: map[string]*lineInstance{}, newestTerms: map[string]uint64{}, replicaReplaced: map[string]bool{},
	}
	l.backends = l
	l.platform = newLinePlatform(l)
	l.createControls()
	for number := range config.Nodes {
		created := &lineNode{machine: newMachine(s, fmt.Sprintf("d%d", number+1)), fleet: l}
		created.zone, created.crashHandler = zones[number%len(zones)], created.onCrash
		l.nodes = append(l.nodes, created)
	}
	for number := range config.Databases {
		l.createDatabase(fmt.Sprintf("db%d", number+1))
	}
	for _, instance := range l.instances {
		instance.start()
	}
	for _, control := range l.controls {
		control.start()
	}
	for _, node := range l.nodes {
		node.start()
	}
	return l
}

// createDatabase makes a primary and replicas that follow it, each in a zone
// of its own.
func (l *lineFleet) createDatabase(database string) {
	l.databases = append(l.databases, database)
	l.newestTerms[database] = 1
	var primary *lineInstance
	for rank := range instancesPerDatabase {
		name := instanceName(database, rank)
		created := l.addInstance(database, name, name+":1", zones[rank])
		created.role, created.term = model.RoleReplica, 1
		if rank == 0 {
			created.role, primary = model.RolePrimary, created
		}
		created.upstream = primary
	}
}

func (l *lineFleet) addInstance(database, name, address, zone string) *lineInstance {
	added := &lineInstance{
		machine: newMachine(l.simulator, name), fleet: l, database: database, address: address,
		replicationDelay: defaultLineReplicationDelay, serviceTime: defaultLineServiceTime, slots: serviceSlots{limit: l.config.Slots},
	}
	added.zone, added.crashHandler = zone, added.onCrash
	l.instances = append(l.instances, added)
	l.instancesByAddress[address] = added
	return added
}

// addSuccessor makes an instance at the address of one that has ended.
func (l *lineFleet) addSuccessor(old *lineInstance) *lineInstance {
	base, _, _ := strings.Cut(old.name, ".")
	return l.addInstance(old.database, fmt.Sprintf("%s.%d", base, l.lastNumber), old.address, old.zone)
}

// instancesOf gives the instances of a database that have not ended.
func (l *lineFleet) instancesOf(database string) []*lineInstance {
	var found []*lineInstance
	for _, instance := range l.instances {
		if instance.database == database && !instance.ended {
			found = append(found, instance)
		}
	}
	return found
}

// primaryOf gives the primary of the newest term of a database; nil for none.
func (l *lineFleet) primaryOf(database string) *lineInstance {
	var newest *lineInstance
	for _, instance := range l.instancesOf(database) {
		if instance.role == model.RolePrimary && (newest == nil || instance.term > newest.term) {
			newest = instance
		}
	}
	return newest
}

func (l *lineFleet) findInstance(name string) *lineInstance {
	for _, instance := range l.instances {
		if instance.name == name {
			return instance
		}
	}
	return nil
}

// instanceNames lists the instances in the order of their making.
func (l *lineFleet) instanceNames() []string {
	var names []string
	for _, instance := range l.instances {
		names = append(names, instance.name)
	}
	return names
}
