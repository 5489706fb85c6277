package scale

import (
	"fmt"
	"runtime"
	"time"

	"tansyseam.example/pooler/coordination/epoch"
	"tansyseam.example/pooler/coordination/lease"
	"tansyseam.example/pooler/coordination/pool"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/state/stream"
	"tansyseam.example/pooler/state/table"
	"tansyseam.example/pooler/state/view"
)

// lineSlopes are those of the line path.
func lineSlopes() []Slope {
	return []Slope{
		{"lines: session held", "sessions", "node", sessionSizes, lineSessionOf},
		{"lines: statement bound, passed, answered", "sessions", "node", sessionSizes, lineStatementOf},
		{"lines: statement among so many instances", "instances", "node", instanceSizes, lineStatementAmong},
		{"lines: beat of an idle node", "instances", "node", instanceSizes, lineBeatOf},
		{"lines: instances known", "instances", "node", instanceSizes, lineKnownOf},
		{"lines: ask built, with its reports", "databases", "node", databaseSizes, lineAskOf},
		{"lines: ask taken and answered, nothing new", "databases", "control primary", databaseSizes, lineDeskOf},
		{"lines: manifest carried with the whole state", "databases", "control primary", databaseSizes, manifestOf},
		{"lines: roll of all instances carried", "instances", "control primary", instanceSizes, rollOf},
		{"lines: takeover case of one database", "nodes", "control primary", nodeSizes, takeoverOf},
	}
}

func syncedOf(databases int) []view.Instance {
	list := instancesOf(databases)
	for at := range list {
		list[at].IsSynced, list[at].Birth, list[at].Term, list[at].Position = true, "", 0, view.Position{}
	}
	return list
}

func lineDoc(databases int) view.Doc {
	set := view.Set{Sequence: 1, Version: 1, Moment: 1, Taken: 1, By: "seamc1@1", Source: "manifest", Limits: view.Limits{Message: 262144, Idle: 15 * time.Second, Inside: 3 * time.Second}}
	doc := view.Doc{Stamp: table.Stamp{Epoch: 1, Sequence: 1}, Writers: map[string]view.Writer{}}
	for number := range databases {
		name := databaseName(number)
		set.Databases = append(set.Databases, view.Database{Name: name, Connections: 110, Synced: 1})
		set.Bindings = append(set.Bindings, view.Binding{
			Name: "use-" + name, Database: name, Freshness: 1500 * time.Millisecond, Timeout: time.Second, Target: 200 * time.Millisecond, Priority: 1, Tries: 2,
		})
		doc.Writers[name] = view.Writer{Database: name, Term: 1, Primary: name + "-a", Phase: view.PhaseOpen, IsSynced: true, Since: 1790000000000000000}
	}
	next := set
	next.Sequence, next.Version = 2, 2
	doc.Sets = []view.Set{set, next}
	return doc
}

func linePlane(databases, sessions int, now time.Duration) *pool.Machine {
	timing := pool.DefaultTiming()
	timing.Clients = max(timing.Clients, sessions)
	machine := pool.New(pool.Place{Name: "seamd-0001", Zone: "zone1", Birth: 1, Beta: 1}, timing, lease.DefaultTiming(), func(string, int64) {})
	doc := lineDoc(databases)
	machine.Took(steer.News{
		IsPrimary: true, Record: epoch.Record{Epoch: 1, Primary: "seamc1"}, Lease: time.Hour, Wall: int64(now), Doc: &doc,
		Roll: steer.Roll{Tenure: "t", Number: 1}, Instances: syncedOf(databases),
	}, now, now)
	machine.Effects()
	return machine
}

func clientsOf(machine *pool.Machine, databases, count int, now time.Duration) []*pool.Client {
	var clients []*pool.Client
	for number := range count {
		if client := machine.Met(number, now); client != nil {
			machine.Connect(client, "use-"+databaseName(number%databases), now)
			clients = append(clients, client)
		}
	}
	machine.Effects()
	return clients
}

func lineSessionOf(count int) (Figure, error) {
	machine := linePlane(10, count, time.Hour)
	before := heap()
	clients := clientsOf(machine, 10, count, time.Hour)
	held := heap() - before
	if len(clients) != count || machine.Clients() != count {
		return Figure{}, fmt.Errorf("%d of %d sessions open", len(clients), count)
	}
	runtime.KeepAlive(clients)
	return Figure{Bytes: held}, nil
}

// answerLines lets instances take connections and answer, and counts what is
// said to clients.
func answerLines(machine *pool.Machine, now time.Duration) int {
	ready := stream.Message{Kind: stream.KindReady, State: stream.StateIdle, Position: view.Position{Term: 1, Index: 1000}}
	said := 0
	for effects := machine.Effects(); len(effects) > 0; effects = machine.Effects() {
		for _, effect := range effects {
			if open, isOne := effect.(pool.Open); isOne {
				machine.Came(open.Conn, ready, now)
			}
			if send, isOne := effect.(pool.Send); isOne {
				for range send.Outs {
					machine.Came(send.Conn, stream.Message{Kind: stream.KindDone, Tail: "s"}, now)
					machine.Came(send.Conn, ready, now)
				}
			}
			if _, isOne := effect.(pool.Say); isOne {
				said++
			}
		}
	}
	return said
}

func lineStatements(databases, count int) (Figure, error) {
	now := time.Hour
	machine := linePlane(databases, count, now)
	clients := clientsOf(machine, databases, count, now)
	said, made := 0, 0
	cost := many(func() {
		asked := pool.Asked{ID: "q1", Text: "read t1", Statement: stream.Statement{Act: stream.ActRead}}
		machine.Query(clients[made%len(clients)], asked, now)
		made++
		said += answerLines(machine, now)
	})
	if said != made {
		return Figure{}, fmt.Errorf("%d of %d statements answered", said, made)
	}
	return Figure{Processor: cost}, nil
}

func lineStatementOf(count int) (Figure, error) { return lineStatements(10, count) }

func lineStatementAmong(instances int) (Figure, error) { return lineStatements(instances/Copies, 1000) }

func lineBeatOf(instances int) (Figure, error) {
	machine := linePlane(instances/Copies, 0, time.Hour)
	live := make([]string, 930)
	for at := range live {
		live[at] = hollowName(at)
	}
	return Figure{Processor: many(func() {
		machine.Beat(live, 1, time.Hour+time.Millisecond)
		machine.Effects()
	})}, nil
}

func lineKnownOf(instances int) (Figure, error) {
	before := heap()
	machine := linePlane(instances/Copies, 0, time.Hour)
	held := heap() - before
	runtime.KeepAlive(machine)
	return Figure{Bytes: held}, nil
}

func lineAskOf(databases int) (Figure, error) {
	machine := linePlane(databases, 0, time.Hour)
	var ask steer.AskNews
	cost := many(func() { ask = machine.Ask(time.Hour + time.Millisecond) })
	return sized(Figure{Processor: cost}, ask)
}

func lineTable(databases, nodes int) *table.Table {
	held := table.New()
	doc := lineDoc(databases)
	var puts []table.Put
	for _, set := range doc.Sets {
		puts = append(puts, table.Put{Key: steer.SetKey(set.Sequence), Data: table.Encode(set)})
	}
	for name, writer := range doc.Writers {
		puts = append(puts, table.Put{Key: view.KeyDB + name, Data: table.Encode(writer)})
	}
	for _, node := range nodesOf(nodes, 0) {
		puts = append(puts, table.Put{Key: view.KeyNode + node.Name, Data: table.Encode(int64(1790000000000000000))})
	}
	held.Apply(doc.Stamp, puts)
	return held
}

func lineDeskOf(databases int) (Figure, error) {
	machine := desk(lineTable(databases, 930))
	now, token := time.Hour, uint64(0)
	ask := linePlane(databases, 0, now).Ask(now)
	ask.Have = machine.Doc().Stamp
	var replies []steer.Reply
	cost := many(func() {
		now += steer.Wait
		token++
		ask.Number++
		machine.Ask(ask, token, now)
		replies = machine.Flush(true, int64(now), now+steer.Wait)
	})
	if len(replies) == 0 {
		return Figure{Processor: cost}, nil
	}
	return sized(Figure{Processor: cost}, replies[0].News)
}

func newsAfter(machine *steer.Machine) (Figure, error) {
	now := time.Hour
	var replies []steer.Reply
	cost := many(func() {
		machine.Ask(steer.AskNews{Node: nodeOf(1, view.KindData).Name, Kind: view.KindData}, 1, now)
		replies = machine.Flush(true, int64(now), now)
	})
	return sized(Figure{Processor: cost}, replies[0].News)
}

func manifestOf(databases int) (Figure, error) { return newsAfter(desk(lineTable(databases, 930))) }

func rollOf(instances int) (Figure, error) {
	machine := desk(lineTable(10, 930))
	var heard []steer.Heard
	for _, instance := range syncedOf(instances / Copies) {
		heard = append(heard, steer.Heard{Instance: instance, At: time.Hour})
	}
	machine.Roster(heard)
	return newsAfter(machine)
}

func takeoverOf(nodes int) (Figure, error) {
	const databases = 100
	machine := desk(lineTable(databases, nodes))
	now := time.Hour
	ask := linePlane(1, 0, now).Ask(now)
	ask.Have = machine.Doc().Stamp
	for number, node := range nodesOf(nodes, 0) {
		ask.Node = node.Name
		machine.Ask(ask, uint64(number), now)
	}
	machine.Flush(true, int64(now), now+steer.Wait)
	now += steer.Wait
	var heard []steer.Heard
	for _, instance := range syncedOf(databases) {
		heard = append(heard, steer.Heard{Instance: instance, At: now})
	}
	return Figure{Processor: many(func() { machine.Takeover(databaseName(0), heard, int64(now), now) })}, nil
}
