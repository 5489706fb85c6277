package messagesize

import (
	"fmt"
	"time"

	"tansyseam/internal/coordination/callresult"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

const (
	zoneCount           = 6
	instancesByDatabase = 3
	// leasedNodes is the number of nodes that are registered in the control state.
	leasedNodes = 930
	// wallNanos is a wall clock time of the primary. It is as long as a real one.
	wallNanos = 1790000000000000000
	// freshness is the staleness bound of each binding.
	freshness = 1500 * time.Millisecond
)

func zoneName(number int) string { return fmt.Sprintf("zone%d", number%zoneCount+1) }

func databaseName(number int) string { return fmt.Sprintf("db%d", number) }

func proxyNode(number int) model.Node {
	address := fmt.Sprintf("10.%d.%d.%d:7000", number%zoneCount, number/250, number%250+1)
	return model.Node{
		Name: fmt.Sprintf("%s-%04d", model.KindProxy, number), Kind: model.KindProxy, Zone: zoneName(number),
		RPCAddress: address, HTTPAddress: address, Incarnation: wallNanos + int64(number), Version: 1, Weight: 1,
	}
}

func proxyNodes(count int, heartbeat uint64) []model.Node {
	var nodes []model.Node
	for number := range count {
		node := proxyNode(number)
		node.Heartbeat = heartbeat
		nodes = append(nodes, node)
	}
	return nodes
}

func asyncInstances(databases int) []model.Instance {
	var instances []model.Instance
	for database := range databases {
		for replica := range instancesByDatabase {
			role := model.RoleReplica
			if replica == 0 {
				role = model.RolePrimary
			}
			number := len(instances)
			instances = append(instances, model.Instance{
				Name:     fmt.Sprintf("%s-%c", databaseName(database), 'a'+replica),
				Database: databaseName(database),
				Address:  fmt.Sprintf("10.9.%d.%d:5432", number/250, number%250+1),
				Zone:     zoneName(database + replica), Role: role, Incarnation: "born", Term: 1,
				Position: model.Position{Term: 1, Index: 1000}, Connections: 110, Slots: 10,
			})
		}
	}
	return instances
}

func syncInstances(databases int) []model.Instance {
	instances := asyncInstances(databases)
	for index := range instances {
		instance := &instances[index]
		instance.SyncReplication = true
		instance.Incarnation, instance.Term, instance.Position = "", 0, model.Position{}
	}
	return instances
}

func asyncBindings(databases int) []model.Binding {
	var bindings []model.Binding
	for number := range databases {
		name := databaseName(number)
		bindings = append(bindings, model.Binding{Name: "use-" + name, Database: name, Freshness: freshness})
	}
	return bindings
}

func asyncWriterRole(database string) model.WriterRole {
	replicas := map[string]string{database + "-b": "born", database + "-c": "born"}
	return model.WriterRole{
		Database: database, Term: 1, Primary: database + "-a", PrimaryIncarnation: "born", Phase: model.PhaseOpen,
		RequiredReplicas: replicas, Candidates: replicas, HighWatermark: model.Position{Term: 1, Index: 1000},
		LastTransitionAt: wallNanos,
	}
}

func setPut(set model.BindingSet) store.Put {
	return store.Put{Key: model.BindingSetKey(set.Sequence), Data: store.Encode(set)}
}

func writerRolePut(role model.WriterRole) store.Put {
	return store.Put{Key: model.PrefixWriterRole + role.Database, Data: store.Encode(role)}
}

func nodePuts() []store.Put {
	var puts []store.Put
	for _, node := range proxyNodes(leasedNodes, 0) {
		puts = append(puts, store.Put{Key: model.PrefixNode + node.Name, Data: store.EncodePlain(int64(wallNanos))})
	}
	return puts
}

// asyncState returns the control state of databases with asynchronous replication: two
// binding sets, the writer roles, the registered nodes and the maximum number of
// stored call results.
func asyncState(databases int) *store.Table {
	state := store.New()
	version := store.Version{Epoch: 1, Sequence: 1}
	puts := nodePuts()
	for sequence := uint64(1); sequence <= 2; sequence++ {
		puts = append(puts, setPut(model.BindingSet{
			Sequence: sequence, EffectiveAt: 1, AcceptedAt: 1, ScheduledBy: "seamc1@1", Source: "call 1", Bindings: asyncBindings(databases),
		}))
	}
	for number := range databases {
		puts = append(puts, writerRolePut(asyncWriterRole(databaseName(number))))
	}
	state.Apply(version, puts)
	for number := range callresult.MaxResults {
		version.Sequence++
		result := callresult.Result{Status: 200, Body: []byte(`{"sequence":1}`), Path: "/v1/bindings/put"}
		state.Apply(version, callresult.Record(state, fmt.Sprintf("call-%d", number), result, nil))
	}
	return state
}

// manifestSnapshot returns a node's snapshot of databases with synchronous
// replication: two manifests and the writer roles.
func manifestSnapshot(databases int) model.Snapshot {
	set := model.BindingSet{
		Sequence: 1, Version: 1, EffectiveAt: 1, AcceptedAt: 1, ScheduledBy: "seamc1@1", Source: "manifest",
		Limits: model.Limits{MaxMessageBytes: 262144, IdleTimeout: 15 * time.Second, TransactionIdleTimeout: 3 * time.Second},
	}
	snapshot := model.Snapshot{Version: store.Version{Epoch: 1, Sequence: 1}, Writers: map[string]model.WriterRole{}}
	for number := range databases {
		name := databaseName(number)
		set.Databases = append(set.Databases, model.Database{Name: name, MaxConnections: 110, MinSyncReplicas: 1})
		set.Bindings = append(set.Bindings, model.Binding{
			Name: "use-" + name, Database: name, Freshness: freshness, Timeout: time.Second,
			LatencyTarget: 200 * time.Millisecond, Priority: 1, MaxAttempts: 2,
		})
		snapshot.Writers[name] = model.WriterRole{
			Database: name, Term: 1, Primary: name + "-a", Phase: model.PhaseOpen, SyncReplication: true, LastTransitionAt: wallNanos,
		}
	}
	next := set
	next.Sequence, next.Version = 2, 2
	snapshot.Sets = []model.BindingSet{set, next}
	return snapshot
}

// syncState returns the control state that contains manifestSnapshot.
func syncState(databases int) *store.Table {
	state, snapshot := store.New(), manifestSnapshot(databases)
	puts := nodePuts()
	for _, set := range snapshot.Sets {
		puts = append(puts, setPut(set))
	}
	for _, role := range snapshot.Writers {
		puts = append(puts, writerRolePut(role))
	}
	state.Apply(snapshot.Version, puts)
	return state
}

// newPrimary returns the machine of a control primary with the given state.
func newPrimary(state *store.Table) *distribution.Machine {
	record := consensus.Record{Epoch: 1, Primary: "seamc1", Backup: "seamc2"}
	machine := distribution.New("seamc1", lease.DefaultTiming(), record, state, time.Hour)
	machine.SetClockTrusted(true)
	return machine
}
