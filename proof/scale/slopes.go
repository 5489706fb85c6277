package scale

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"tansyseam.example/pooler/coordination/epoch"
	"tansyseam.example/pooler/coordination/goes"
	"tansyseam.example/pooler/coordination/hall"
	"tansyseam.example/pooler/coordination/lease"
	"tansyseam.example/pooler/coordination/member"
	"tansyseam.example/pooler/coordination/serve"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/state/table"
	"tansyseam.example/pooler/state/view"
)

// Figure is one measured cost of one of the product's machines at one size.
type Figure struct {
	Name string
	// Of says what Size counts.
	Of   string
	Size int
	// Processor is the time of one turn; Bytes are on a link, on disk or in
	// memory, as Name tells.
	Processor time.Duration
	Bytes     int64
	// First is the size of the first message of its kind on a connection, Link
	// the time of both ends that pass a later one on.
	First int64
	Link  time.Duration
}

// Slope is a cost, whose it is, and the sizes it is taken at.
type Slope struct {
	Name  string
	Of    string
	Role  string
	Sizes []int
	take  func(size int) (Figure, error)
}

var (
	nodeSizes     = []int{30, 100, 300, 930}
	databaseSizes = []int{10, 100, 300, 1000, 1900}
	instanceSizes = []int{30, 300, 900, 5700}
	sessionSizes  = []int{1000, 6000}
	goSizes       = []int{10000, 90000}
)

// Slopes lists what is measured of the machines alone, without a network: so
// at the full size, too.
func Slopes() []Slope {
	return append([]Slope{
		{"gossip: one beat at rest", "nodes", "each node", nodeSizes, restOf},
		{"gossip: one beat, all nodes reborn", "nodes", "each node", nodeSizes, beatOf},
		{"gossip: one message taken at rest", "nodes", "each node", nodeSizes, toldOf},
		{"gossip: nodes known", "nodes", "each node", nodeSizes, membersOf},
		{"ask: built, with its reports", "instances", "node", instanceSizes, askOf},
		{"ask: taken and answered, nothing new", "instances", "control primary", instanceSizes, deskOf},
		{"ask: taken while all nodes are leased", "nodes", "control primary", nodeSizes, leasedOf},
		{"news: whole state carried", "databases", "control primary", databaseSizes, newsOf},
		{"write: table cloned, written out, read again", "databases", "control primary, backup", databaseSizes, writeOf},
		{"case of one database", "nodes", "control primary", nodeSizes, caseOf},
		{"instance known", "instances", "node", instanceSizes, knownOf},
		{"beat of the data plane", "instances", "node", instanceSizes, hallBeatOf},
		{"session held", "sessions", "node", sessionSizes, sessionOf},
		{"statement: bound, passed, answered", "sessions", "node", sessionSizes, statementOf},
		{"go of a write recorded", "goes", "node", goSizes, goOf},
	}, lineSlopes()...)
}

// Take measures one slope at the sizes up to a bound.
func (s Slope) Take(most int) ([]Figure, error) {
	var figures []Figure
	for _, size := range s.Sizes {
		if size > most {
			break
		}
		figure, err := s.take(size)
		if err != nil {
			return figures, fmt.Errorf("%s at %d: %w", s.Name, size, err)
		}
		figure.Name, figure.Of, figure.Size = s.Name, s.Of, size
		figures = append(figures, figure)
	}
	return figures, nil
}

const (
	meterHost = "127.0.0.1"
	weighed   = 40
)

func sized(figure Figure, body any) (Figure, error) {
	weight, err := Weigh(meterHost, slices.Repeat([]any{body}, weighed)...)
	figure.Bytes, figure.First, figure.Link = weight.Later, weight.First, weight.Processor
	return figure, err
}

func nodeOf(number int, kind string) view.Node {
	address := fmt.Sprintf("10.%d.%d.%d:7000", number%Zones, number/250, number%250+1)
	return view.Node{
		Name: fmt.Sprintf("%s-%04d", kind, number), Kind: kind, Zone: zoneOf(number), Link: address, Door: address,
		Birth: 1790000000000000000 + int64(number), Version: 1, Weight: 1,
	}
}

func nodesOf(count int, beat uint64) []view.Node {
	var list []view.Node
	for number := range count {
		node := nodeOf(number, view.KindData)
		node.Beat = beat
		list = append(list, node)
	}
	return list
}

func memberOf(count int) (*member.Machine, func(beat uint64) member.Told) {
	nodes := nodesOf(count, 0)
	machine := member.New(nodes[0], []string{nodes[1].Link, nodes[2].Link, nodes[3].Link}, member.DefaultTiming())
	return machine, func(beat uint64) member.Told {
		return member.Told{Gossip: member.Gossip{From: nodesOf(2, beat)[1], Nodes: nodesOf(count, beat)[1:], IsReply: true}}
	}
}

func membersOf(count int) (Figure, error) {
	before := heap()
	machine, told := memberOf(count)
	machine.Step(told(1), time.Hour)
	machine.Step(member.Tick{}, time.Hour+member.DefaultTiming().Beat)
	held := heap() - before
	runtime.KeepAlive(machine)
	return Figure{Bytes: held}, nil
}

func sendOf(effects []any, before member.Gossip) member.Gossip {
	for _, effect := range effects {
		if send, isSend := effect.(member.Send); isSend {
			return send.Gossip
		}
	}
	return before
}

func beatOf(count int) (Figure, error) {
	machine, told := memberOf(count)
	now, beat := time.Hour, uint64(1)
	var gossip member.Gossip
	cost := each(func() {
		beat++
		now += member.DefaultTiming().Beat
		reborn := told(beat)
		for at := range reborn.Gossip.Nodes {
			reborn.Gossip.Nodes[at].Birth += int64(beat)
		}
		machine.Step(reborn, now)
	}, func() { gossip = sendOf(machine.Step(member.Tick{}, now), gossip) })
	return sized(Figure{Processor: cost}, gossip)
}

type rest struct {
	machine *member.Machine
	now     time.Duration
	beat    uint64
	heard   []view.Node
	digest  uint64
}

func restAt(count int) *rest {
	machine, told := memberOf(count)
	r := &rest{machine: machine, now: time.Hour, beat: 1}
	machine.Step(told(1), r.now)
	r.heard = nodesOf(count, 0)[1:2]
	watched := machine.Watched()
	for _, node := range machine.Nodes(member.IsLive) {
		if slices.Contains(watched, node.Name) && node.Name != r.heard[0].Name {
			r.heard = append(r.heard, node)
		}
	}
	for range 8 {
		r.pass()
		r.took(machine.Step(member.Tick{}, r.now))
	}
	return r
}

func (r *rest) took(effects []any) member.Gossip {
	gossip := sendOf(effects, member.Gossip{Digest: r.digest})
	r.digest = gossip.Digest
	return gossip
}

func (r *rest) message(node view.Node, isReply bool) member.Told {
	from := brief(node)
	from.Beat = r.beat
	return member.Told{Gossip: member.Gossip{From: from, Digest: r.digest, IsReply: isReply}}
}

func (r *rest) pass() {
	r.beat++
	r.now += member.DefaultTiming().Beat
	for _, node := range r.heard {
		r.took(r.machine.Step(r.message(node, true), r.now))
	}
}

func restOf(count int) (Figure, error) {
	r := restAt(count)
	var gossip member.Gossip
	cost := each(r.pass, func() {
		if effects := r.machine.Step(member.Tick{}, r.now); len(effects) > 0 {
			gossip = r.took(effects)
		}
	})
	if len(gossip.Nodes) > 0 {
		return Figure{}, fmt.Errorf("%d nodes told of at rest", len(gossip.Nodes))
	}
	return sized(Figure{Processor: cost}, gossip)
}

func toldOf(count int) (Figure, error) {
	r := restAt(count)
	var message member.Told
	var gossip member.Gossip
	cost := each(func() {
		r.beat++
		message = r.message(r.heard[0], false)
	}, func() { gossip = r.took(r.machine.Step(message, r.now)) })
	return sized(Figure{Processor: cost}, gossip)
}

func instancesOf(databases int) []view.Instance { return newWorld(databases).addressed() }

func (w *world) addressed() []view.Instance {
	for at := range w.instances {
		w.instances[at].Address = fmt.Sprintf("10.9.%d.%d:5432", at/250, at%250+1)
	}
	return w.instances
}

func asker(name string, instances []view.Instance, now time.Duration) *serve.Machine {
	machine := serve.New(name, lease.DefaultTiming())
	for _, instance := range instances {
		machine.Announced(instance, now)
	}
	return machine
}

func askOf(count int) (Figure, error) {
	machine := asker("seamd-0001", instancesOf(count/Copies), time.Hour)
	var ask steer.AskNews
	cost := many(func() { ask = machine.Ask(time.Hour+time.Second, nil) })
	return sized(Figure{Processor: cost}, ask)
}

func stateOf(databases, nodes int) *table.Table {
	held := table.New()
	stamp := table.Stamp{Epoch: 1, Sequence: 1}
	var puts []table.Put
	for sequence := uint64(1); sequence <= 2; sequence++ {
		set := view.Set{Sequence: sequence, Moment: 1, Taken: 1, By: "seamc1@1", Source: "call 1", Bindings: bindingsOf(databases)}
		puts = append(puts, table.Put{Key: steer.SetKey(sequence), Data: table.Encode(set)})
	}
	for number := range databases {
		name := databaseName(number)
		replicas := map[string]string{name + "-b": "born", name + "-c": "born"}
		puts = append(puts, table.Put{Key: view.KeyDB + name, Data: table.Encode(view.Writer{
			Database: name, Term: 1, Primary: name + "-a", Birth: "born", Phase: view.PhaseOpen, Required: replicas, Candidates: replicas,
			High: view.Position{Term: 1, Index: 1000}, Since: 1790000000000000000,
		})})
	}
	for _, node := range nodesOf(nodes, 0) {
		puts = append(puts, table.Put{Key: view.KeyNode + node.Name, Data: table.Encode(int64(1790000000000000000))})
	}
	held.Apply(stamp, puts)
	for number := range steer.CallsKept {
		stamp.Sequence++
		outcome := steer.Outcome{Status: 200, Body: []byte(`{"sequence":1}`), Path: "/v1/bindings/put"}
		held.Apply(stamp, steer.Keep(held, fmt.Sprintf("call-%d", number), outcome, nil))
	}
	return held
}

func bindingsOf(count int) []view.Binding {
	var list []view.Binding
	for number := range count {
		list = append(list, view.Binding{Name: "use-" + databaseName(number), Database: databaseName(number), Freshness: 1500 * time.Millisecond})
	}
	return list
}

func desk(held *table.Table) *steer.Machine {
	machine := steer.New("seamc1", lease.DefaultTiming(), epoch.Record{Epoch: 1, Primary: "seamc1", Backup: "seamc2"}, held, time.Hour)
	machine.Trust(true)
	return machine
}

func deskOf(count int) (Figure, error) {
	instances := instancesOf(count / Copies)
	machine := desk(stateOf(10, 930))
	asks := asker(nodeOf(1, view.KindData).Name, instances, time.Hour)
	ask := asks.Ask(time.Hour, nil)
	ask.Have = machine.Doc().Stamp
	now, token := time.Hour, uint64(0)
	var replies []steer.Reply
	cost := many(func() {
		now += steer.Wait
		token++
		machine.Ask(ask, token, now)
		replies = machine.Flush(true, int64(now), now+steer.Wait)
	})
	if len(replies) == 0 {
		return Figure{Processor: cost}, nil
	}
	return sized(Figure{Processor: cost}, replies[0].News)
}

func leasedOf(nodes int) (Figure, error) {
	machine := desk(stateOf(10, nodes))
	now := time.Hour
	ask := asker(nodeOf(1, view.KindData).Name, instancesOf(10), now).Ask(now, nil)
	ask.Have = machine.Doc().Stamp
	return Figure{Processor: many(func() {
		machine.Ask(ask, 1, now)
		machine.Flush(true, int64(now), now+steer.Wait)
	})}, nil
}

func newsOf(databases int) (Figure, error) {
	machine := desk(stateOf(databases, 930))
	now := time.Hour
	var replies []steer.Reply
	cost := many(func() {
		machine.Ask(steer.AskNews{Node: nodeOf(1, view.KindData).Name, Kind: view.KindData}, 1, now)
		replies = machine.Flush(true, int64(now), now)
	})
	return sized(Figure{Processor: cost}, replies[0].News)
}

func writeOf(databases int) (Figure, error) {
	held := stateOf(databases, 930)
	machine := desk(held)
	data := 0
	cost := many(func() {
		next := held.Clone()
		stamp := held.Stamp
		stamp.Sequence++
		next.Apply(stamp, steer.EntryPuts(held, 1, "bindings", "sequence taken", "call"))
		data = len(table.Encode(*next))
		machine.Wrote(next)
	})
	return Figure{Processor: cost, Bytes: int64(data)}, nil
}

func caseOf(nodes int) (Figure, error) {
	const databases = 100
	machine := desk(stateOf(databases, nodes))
	instances := instancesOf(databases)
	now := time.Hour
	for number, node := range nodesOf(nodes, 0) {
		ask := asker(node.Name, instances[:Copies], now).Ask(now, nil)
		ask.Have = machine.Doc().Stamp
		machine.Ask(ask, uint64(number), now)
	}
	machine.Flush(true, int64(now), now+steer.Wait)
	now += steer.Wait
	var heard []steer.Heard
	for _, instance := range instances {
		heard = append(heard, steer.Heard{Instance: instance, At: now})
	}
	return Figure{Processor: many(func() { machine.Case(databaseName(0), heard, int64(now), now) })}, nil
}

func plane(databases int, now time.Duration) *hall.Machine {
	machine := hall.New(hall.Place{Name: "seamd-0001", Zone: "zone1", Birth: "1", Beta: 1}, hall.DefaultTiming(), func(string, int64) {})
	for _, instance := range instancesOf(databases) {
		machine.Announced(instance, now)
	}
	doc := view.DocOf(stateOf(databases, 1))
	news := steer.News{IsPrimary: true, Record: epoch.Record{Epoch: 1, Primary: "seamc1"}, Lease: time.Hour, Wall: int64(now), Doc: &doc}
	machine.Took(news, now, now)
	machine.Effects()
	return machine
}

func knownOf(count int) (Figure, error) {
	instances := instancesOf(count / Copies)
	before := heap()
	machine := hall.New(hall.Place{Name: "seamd-0001", Zone: "zone1", Birth: "1", Beta: 1}, hall.DefaultTiming(), func(string, int64) {})
	for _, instance := range instances {
		machine.Announced(instance, time.Hour)
	}
	machine.Effects()
	held := heap() - before
	at := 0
	cost := many(func() {
		machine.Announced(instances[at%len(instances)], time.Hour+time.Second)
		machine.Effects()
		at++
	})
	return Figure{Processor: cost, Bytes: held}, nil
}

func hallBeatOf(count int) (Figure, error) {
	machine := plane(count/Copies, time.Hour)
	return Figure{Processor: many(func() {
		machine.Beat(930, 1, time.Hour+time.Second)
		machine.Effects()
	})}, nil
}

func sessionsOf(machine *hall.Machine, count int, now time.Duration) []string {
	var sessions []string
	for number := range count {
		opened, _, isOpen := machine.Open("use-"+databaseName(number%10), fmt.Sprintf("10.8.%d.%d:40000", number/250, number%250), nil, now)
		if isOpen {
			sessions = append(sessions, opened.Session)
		}
	}
	machine.Effects()
	return sessions
}

func sessionOf(count int) (Figure, error) {
	machine := plane(10, time.Hour)
	before := heap()
	sessions := sessionsOf(machine, count, time.Hour)
	held := heap() - before
	if len(sessions) != count || machine.Consumers() != count {
		return Figure{}, fmt.Errorf("%d of %d sessions open", len(sessions), count)
	}
	return Figure{Bytes: held}, nil
}

func carry(machine *hall.Machine, now time.Duration) int {
	told := 0
	acts := 1
	for acts > 0 {
		effects := machine.Effects()
		acts = len(effects)
		for _, effect := range effects {
			told += carryOne(machine, effect, now)
		}
	}
	return told
}

func carryOne(machine *hall.Machine, effect hall.Effect, now time.Duration) int {
	reply := hall.Reply{IsClean: true, Birth: "born", Term: 1, Position: view.Position{Term: 1, Index: 1000}}
	if admit, isOne := effect.(hall.Admit); isOne {
		machine.Join(admit.Job, now)
	}
	if forward, isOne := effect.(hall.Forward); isOne {
		machine.Pass(forward.Job, now)
	}
	if open, isOne := effect.(hall.Open); isOne {
		machine.Opened(open.Wire, reply, true, now)
	}
	if send, isOne := effect.(hall.Send); isOne {
		reply.Role = view.RolePrimary
		machine.Answered(send.Job, reply, false, now+time.Millisecond)
	}
	if _, isOne := effect.(hall.Tell); isOne {
		return 1
	}
	return 0
}

func statementOf(count int) (Figure, error) {
	now := time.Hour
	machine := plane(10, now)
	sessions := sessionsOf(machine, count, now)
	told, made := 0, 0
	cost := many(func() {
		op := hall.Op{Act: hall.ActRun, Text: "select 1"}
		job, _, isIn := machine.Enter(sessions[made%len(sessions)], op, 0, made, now)
		made++
		if isIn {
			machine.Bind(job, now)
			told += carry(machine, now)
		}
	})
	if told != made {
		return Figure{}, fmt.Errorf("%d of %d statements answered", told, made)
	}
	return Figure{Processor: cost}, nil
}

func goOf(count int) (Figure, error) {
	now := time.Hour
	machine := goes.New("seamd-0001", "1", goes.DefaultTiming())
	var sessions []string
	for number := range goSessions {
		session := machine.Session(uint64(number))
		machine.Open(session)
		sessions = append(sessions, session)
	}
	before, began := heap(), ownProcessor()
	for made := range count {
		id := fmt.Sprintf("%s.%d", sessions[made%goSessions], made/goSessions+1)
		machine.Decide(id, nil, now)
		machine.Settle(id, goes.Kept, nil, view.Position{Term: 1, Index: 1000}, now)
	}
	cost := (ownProcessor() - began) / time.Duration(count)
	held := heap() - before
	runtime.KeepAlive(machine)
	return Figure{Processor: cost, Bytes: held}, nil
}

const goSessions = 1000
