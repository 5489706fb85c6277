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
	// lastFaultEnd is the latest end of the faults so far.
	lastFaultEnd time.Duration
	// lastNumber is the last number given to a query or an instance.
	lastNumber int
	// lastStamp is the stamp of the last answer, which the defect
	// SwappedAnswers may send in place of the next one.
	lastStamp string
	// replicaReplaced has the databases of which a replica was replaced by a
	// blank one.
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

// createDatabase adds a database with a primary and the replicas that follow it,
// each in a different zone.
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

// addSuccessor adds an instance at the address of an instance that has ended.
func (l *lineFleet) addSuccessor(old *lineInstance) *lineInstance {
	base, _, _ := strings.Cut(old.name, ".")
	return l.addInstance(old.database, fmt.Sprintf("%s.%d", base, l.lastNumber), old.address, old.zone)
}

// instancesOf returns the instances of a database that have not ended.
func (l *lineFleet) instancesOf(database string) []*lineInstance {
	var found []*lineInstance
	for _, instance := range l.instances {
		if instance.database == database && !instance.ended {
			found = append(found, instance)
		}
	}
	return found
}

// primaryOf returns the primary with the newest term of a database; nil if there
// is no primary.
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

// instanceNames returns the names of the instances in the order of their creation.
func (l *lineFleet) instanceNames() []string {
	var names []string
	for _, instance := range l.instances {
		names = append(names, instance.name)
	}
	return names
}
