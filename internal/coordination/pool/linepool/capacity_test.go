package linepool

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

const (
	// capacityInstances is the number of instances of each database.
	capacityInstances = 3
	// capacityNow is the time of all events in these tests.
	capacityNow = time.Hour
)

func capacityDatabase(number int) string { return fmt.Sprintf("db%d", number) }

func capacityBinding(number int) string { return "use-" + capacityDatabase(number) }

// capacityRegistry returns the instances of the given number of databases.
func capacityRegistry(databases int) []model.Instance {
	var registry []model.Instance
	for database := range databases {
		for replica := range capacityInstances {
			role := model.RoleReplica
			if replica == 0 {
				role = model.RolePrimary
			}
			number := len(registry)
			registry = append(registry, model.Instance{
				Name: fmt.Sprintf("%s-%c", capacityDatabase(database), 'a'+replica), Database: capacityDatabase(database),
				Address: fmt.Sprintf("10.9.%d.%d:5432", number/250, number%250+1), Zone: fmt.Sprintf("zone%d", (database+replica)%6+1),
				Role: role, Connections: 110, Slots: 10, SyncReplication: true,
			})
		}
	}
	return registry
}

// capacitySnapshot returns a snapshot with one binding and an open term for
// each database.
func capacitySnapshot(databases int) model.Snapshot {
	set := model.BindingSet{
		Sequence: 1, Version: 1, EffectiveAt: 1, AcceptedAt: 1, ScheduledBy: "c1@1", Source: "manifest",
		Limits: model.Limits{MaxMessageBytes: 262144, IdleTimeout: 15 * time.Second, TransactionIdleTimeout: 3 * time.Second},
	}
	snapshot := model.Snapshot{Version: store.Version{Epoch: 1, Sequence: 1}, Writers: map[string]model.WriterRole{}}
	for number := range databases {
		name := capacityDatabase(number)
		set.Databases = append(set.Databases, model.Database{Name: name, MaxConnections: 110, MinSyncReplicas: 1})
		set.Bindings = append(set.Bindings, model.Binding{
			Name: capacityBinding(number), Database: name, Freshness: 1500 * time.Millisecond, Timeout: time.Second,
			LatencyTarget: 200 * time.Millisecond, Priority: 1, MaxAttempts: 2,
		})
		snapshot.Writers[name] = model.WriterRole{Database: name, Term: 1, Primary: name + "-a", Phase: model.PhaseOpen, SyncReplication: true}
	}
	next := set
	next.Sequence, next.Version = 2, 2
	snapshot.Sets = []model.BindingSet{set, next}
	return snapshot
}

// newCapacityMachine returns a machine that has a lease and accepts the given
// number of clients.
func newCapacityMachine(databases, clients int) *Machine {
	timing := DefaultTiming()
	timing.MaxClients = max(timing.MaxClients, clients)
	machine := New(Node{Name: "d1", Zone: "zone1", Incarnation: 1, Weight: 1}, timing, lease.DefaultTiming(), func(string, int64) {})
	snapshot := capacitySnapshot(databases)
	machine.ApplyUpdate(distribution.Update{
		FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, LeaseDuration: time.Hour, PrimaryTime: int64(capacityNow),
		Snapshot: &snapshot, ListVersion: distribution.ListVersion{Tenure: "t", Number: 1}, Instances: capacityRegistry(databases),
	}, capacityNow, capacityNow)
	machine.Effects()
	return machine
}

// openClients opens the given number of sessions, distributed over the
// databases.
func openClients(machine *Machine, databases, count int) []*Client {
	var clients []*Client
	for number := range count {
		if client := machine.Accept(number, capacityNow); client != nil {
			machine.Connect(client, capacityBinding(number%databases), capacityNow)
			clients = append(clients, client)
		}
	}
	machine.Effects()
	return clients
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// sessionsHeapBytes returns the heap memory that the given number of open
// sessions takes.
func sessionsHeapBytes(count int) int64 {
	const databases = 10
	machine := newCapacityMachine(databases, count)
	before := heapBytes()
	clients := openClients(machine, databases, count)
	added := heapBytes() - before
	So(clients, ShouldHaveLength, count)
	So(machine.Clients(), ShouldEqual, count)
	runtime.KeepAlive(clients)
	So(added, ShouldBeGreaterThan, 0)
	return added
}

func TestSessionMemory(t *testing.T) {
	const (
		few, many          = 1000, 3000
		maxBytesPerSession = 700
	)
	Convey("The heap memory of a session is bounded", t, func() {
		added := sessionsHeapBytes(many) - sessionsHeapBytes(few)
		So(added/(many-few), ShouldBeBetween, 0, maxBytesPerSession)
	})
}

// answerAll accepts all connections and answers all statements as the instances
// do. It returns the number of responses to clients.
func answerAll(machine *Machine, now time.Duration) int {
	ready := lineproto.Message{Kind: lineproto.KindReady, State: lineproto.StateIdle, Position: model.Position{Term: 1, Index: 1000}}
	responses := 0
	for effects := machine.Effects(); len(effects) > 0; effects = machine.Effects() {
		for _, effect := range effects {
			if open, ok := effect.(OpenConn); ok {
				machine.Received(open.Conn, ready, now)
			}
			if send, ok := effect.(Send); ok {
				for range send.Commands {
					machine.Received(send.Conn, done("s"), now)
					machine.Received(send.Conn, ready, now)
				}
			}
			if _, ok := effect.(Respond); ok {
				responses++
			}
		}
	}
	return responses
}

func TestStatementsAmongManyInstances(t *testing.T) {
	const sessions, statements = 1000, 2000
	Convey("With many sessions and instances, each statement is answered once", t, func() {
		for _, instances := range []int{30, 300} {
			databases := instances / capacityInstances
			machine := newCapacityMachine(databases, sessions)
			clients := openClients(machine, databases, sessions)
			So(clients, ShouldHaveLength, sessions)
			responses := 0
			for number := range statements {
				machine.Query(clients[number%sessions], read("t1"), capacityNow)
				responses += answerAll(machine, capacityNow)
			}
			So(responses, ShouldEqual, statements)
		}
	})
}
