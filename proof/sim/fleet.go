package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tansyseam.example/pooler/coordination/epoch"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/state/table"
	"tansyseam.example/pooler/state/view"
	"tansyseam.example/proof/check"
	"tansyseam.example/proof/stand"
)

// Plant is a defect put in on purpose, to show that the checks see it.
type Plant struct {
	// IsLeaseless nodes serve on old news.
	IsLeaseless bool
	// IsForgetful nodes run a repeat as if it were new.
	IsForgetful bool
	// IsTrusting nodes confirm before the replicas hold a commit.
	IsTrusting bool
	// IsWorstReplica duties promote the replica that is furthest behind.
	IsWorstReplica bool
	// IsResending nodes send a write again when its answer is lost.
	IsResending bool
	// IsStale nodes read from replicas however far behind.
	IsStale bool
	// IsStubborn nodes send work to an instance that is leaving.
	IsStubborn bool
}

// Shape is the size of a simulated fleet.
type Shape struct {
	Controls  int
	Nodes     int
	Databases int
	Callers   int
	// Span is how long faults are brought about; Tail follows without any.
	Span, Tail time.Duration
	// Only, where given, names the troubles that may come, and Longest is
	// the longest that one lasts.
	Only    []string
	Longest time.Duration
	// Script, where given, is played in place of random troubles.
	Script func(*fleet)
}

// Magnolia is the simulated desk-booking fleet.
func Magnolia() Shape {
	return Shape{Controls: 3, Nodes: 5, Databases: 1, Callers: 20, Span: 20 * time.Second, Tail: 18 * time.Second}
}

// Chile is the simulated portability fleet.
func Chile() Shape {
	return Shape{Controls: 5, Nodes: 4, Databases: 2, Callers: 20, Span: 20 * time.Second, Tail: 18 * time.Second}
}

type fleet struct {
	world     *world
	plant     Plant
	shape     Shape
	controls  []*control
	nodes     []*node
	instances []*instance
	databases []string
	platform  *platform
	events    []stand.Event
	out       map[uint64]stand.Event
	outs      uint64
	puts      []check.Put
	closings  []check.Closing
	faults    []string
	callers   int
	sequence  uint64
}

func (f *fleet) controlBy(name string) *control {
	at := slices.IndexFunc(f.controls, func(c *control) bool { return c.name == name })
	if at < 0 {
		return nil
	}
	return f.controls[at]
}

func (f *fleet) nodeBy(name string) *node {
	at := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })
	if at < 0 {
		return nil
	}
	return f.nodes[at]
}

func (f *fleet) instanceBy(name string) *instance {
	at := slices.IndexFunc(f.instances, func(x *instance) bool { return x.name == name })
	if at < 0 {
		return nil
	}
	return f.instances[at]
}

func (f *fleet) miss(format string, parts ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, parts...))
}

func (f *fleet) bounce(m *machine, start func(), span time.Duration) {
	if !m.isUp {
		return
	}
	m.crash()
	f.world.after(span, func() {
		if !m.isUp {
			start()
		}
	})
}

func newFleet(seed uint64, shape Shape, plant Plant) *fleet {
	w := newWorld(seed)
	f := &fleet{world: w, plant: plant, shape: shape, out: map[uint64]stand.Event{}}
	make_ := func(name string) machine {
		return machine{world: w, name: name, drift: (w.random.Float64() - 0.5) * 0.004, skew: w.between(0, 20*time.Millisecond)}
	}
	for at := range shape.Controls {
		f.controls = append(f.controls, &control{machine: make_(fmt.Sprintf("c%d", at+1)), fleet: f, disk: newDisk()})
	}
	for at := range shape.Nodes {
		f.nodes = append(f.nodes, &node{machine: make_(fmt.Sprintf("d%d", at+1)), fleet: f})
	}
	for at := range shape.Databases {
		database := fmt.Sprintf("db%d", at+1)
		f.databases = append(f.databases, database)
		var primary *instance
		for rank := range 3 {
			name := fmt.Sprintf("%s-%c", database, 'a'+rank)
			one := &instance{
				machine: make_(name), fleet: f, database: database, role: view.RoleReplica, term: 1, birth: name + ".0",
				upstream: primary, delay: 2 * time.Millisecond, service: 8 * time.Millisecond,
			}
			if rank == 0 {
				one.role, primary = view.RolePrimary, one
			}
			f.instances = append(f.instances, one)
		}
	}
	f.platform = &platform{machine: make_("platform"), fleet: f}
	f.platform.isUp = true
	for _, one := range f.instances {
		one.start()
	}
	for _, one := range f.controls {
		one.start()
	}
	for _, one := range f.nodes {
		one.start()
	}
	return f
}

type caller struct {
	machine
	fleet    *fleet
	number   int
	database string
	freshMS  int
	home     *node
	session  string
	count    int
	mark     view.Position
	random   *rand.Rand
}

func (f *fleet) startCallers(seed uint64) {
	bounds := []int{0, 1500, 2500}
	for at := range f.shape.Callers {
		one := &caller{
			machine: machine{world: f.world, name: fmt.Sprintf("caller%d", at), isUp: true}, fleet: f, number: at,
			database: f.databases[at%len(f.databases)], freshMS: bounds[at%len(bounds)], random: rand.New(rand.NewPCG(seed, uint64(at)+99)),
		}
		one.do(f.world.between(0, 100*time.Millisecond), one.turn)
	}
}

func (c *caller) move() {
	c.home = c.fleet.nodes[c.random.IntN(len(c.fleet.nodes))]
	c.session = ""
}

func (c *caller) turn() {
	if c.home == nil || !c.home.isUp || c.home.isFrozen || c.random.IntN(40) == 0 {
		c.move()
	}
	if !c.home.isUp || c.home.isFrozen {
		c.do(50*time.Millisecond, c.turn)
		return
	}
	if c.session == "" {
		c.session, c.count = c.home.session(), 0
	}
	c.count++
	id := fmt.Sprintf("%s.%d", c.session, c.count)
	if c.random.IntN(2) == 0 {
		c.ask("read", "", fmt.Sprintf("look by %s %d", c.name, c.random.IntN(1e6)), 0)
		return
	}
	c.ask("write", id, fmt.Sprintf("book %s by %s x", id, c.name), 0)
}

func (c *caller) ask(kind, id, text string, again int) {
	event := stand.Event{
		Caller: c.name, Session: c.session, Door: c.home.name, Kind: kind, Database: c.database, FreshMS: c.freshMS, Go: id, Text: text,
		Sent: int64(c.world.now), IsAgain: again > 0,
	}
	isOver := false
	c.fleet.outs++
	number := c.fleet.outs
	c.fleet.out[number] = event
	finish := func(done stand.Event) {
		if isOver {
			return
		}
		isOver = true
		delete(c.fleet.out, number)
		done.Got = int64(c.world.now)
		c.fleet.events = append(c.fleet.events, done)
		c.world.note("%s %s %s %s %v upto %v seq %d via %s", c.name, kind, id, done.Outcome, done.Position, done.Upto, done.Sequence, done.Door)
		position := view.Position{Term: done.Position.Term, Index: done.Position.Index}
		if done.Outcome == "kept" {
			c.mark = c.mark.Later(position)
		}
		isOpen := done.Outcome == "unknown" || done.Outcome == "cut"
		if kind == "write" && isOpen && again < 3 {
			c.do(c.world.between(50*time.Millisecond, 400*time.Millisecond), func() {
				if c.random.IntN(3) > 0 || !c.home.isUp {
					c.move()
				}
				if c.session == "" && c.home.isUp {
					c.session, c.count = c.home.session(), 0
				}
				c.ask(kind, id, text, again+1)
			})
			return
		}
		c.do(time.Duration(c.random.ExpFloat64()*float64(60*time.Millisecond)), c.turn)
	}
	home, mark := c.home, c.mark
	c.do(6500*time.Millisecond, func() {
		cut := event
		cut.Outcome = "cut"
		finish(cut)
	})
	if !home.isUp {
		cut := event
		cut.Outcome = "cut"
		c.do(time.Millisecond, func() { finish(cut) })
		return
	}
	life := home.life
	c.world.send(&c.machine, &home.machine, func() {
		home.serveOne(&statement{event: event, mark: mark, tell: func(done stand.Event) {
			if home.life == life {
				c.world.send(&home.machine, &c.machine, func() { finish(done) })
			}
		}})
	})
}

func bindings(databases []string, freshness time.Duration) []view.Binding {
	var list []view.Binding
	for _, database := range databases {
		list = append(list, view.Binding{Name: "b-" + database, Database: database, Freshness: freshness})
	}
	return list
}

func (f *fleet) operate(id string, expected uint64, due int64) {
	operator := &machine{world: f.world, name: "operator", isUp: true}
	for _, disk := range f.controls {
		if !disk.isUp || disk.isFrozen || !disk.isPrimary() {
			continue
		}
		f.world.send(operator, &disk.machine, func() { f.put(operator, disk, id, expected, due) })
		return
	}
}

func (f *fleet) put(operator *machine, disk *control, id string, expected uint64, due int64) {
	if !disk.isPrimary() {
		return
	}
	sequence, isConflict := uint64(0), false
	set := bindings(f.databases, time.Second)
	disk.submit(func(held *table.Table) []table.Put {
		if past, isPast := steer.Past(held, id); isPast {
			sequence = uint64(past.Status)
			return nil
		}
		if due != 0 {
			puts, _ := steer.BookSet(held, id, due, set, disk.wallNow())
			if len(puts) == 0 {
				isConflict = true
				return nil
			}
			return steer.Keep(held, id, steer.Outcome{}, puts)
		}
		puts, newest := steer.PutSet(held, expected, set, id, disk.wallNow())
		if len(puts) == 0 {
			isConflict, sequence = true, newest
			return nil
		}
		sequence = newest + 1
		return steer.Keep(held, id, steer.Outcome{Status: int(sequence)}, puts)
	}, func(done epoch.Answer) {
		f.world.send(&disk.machine, operator, func() {
			f.world.note("operator: %s on %d kept %v conflict %v sequence %d", id, expected, done.IsKept, isConflict, sequence)
			if isConflict {
				f.sequence = max(f.sequence, sequence)
			}
			if done.IsKept && !isConflict && due == 0 && sequence > 0 {
				f.sequence = max(f.sequence, sequence)
				f.puts = append(f.puts, check.Put{Sequence: sequence, Told: int64(f.world.now)})
			}
		})
	})
}

// Result is what one simulated run showed.
type Result struct {
	Seed   uint64
	Faults map[string][]string
	Events int
	Kept   int
	Reads  int
	Trace  string
	Terms  uint64
	Epochs uint64
}

// Run simulates one seed. Log, where given, hears every line of the history.
func Run(seed uint64, shape Shape, plant Plant, log func(string, ...any)) Result {
	f := newFleet(seed, shape, plant)
	if log != nil {
		f.world.log = log
	}
	w := f.world
	start := w.now
	w.runUntil(start + 1500*time.Millisecond)
	for range 10 {
		f.operate("first", 0, 0)
		w.runUntil(w.now + 300*time.Millisecond)
	}
	w.runUntil(start + 5500*time.Millisecond)
	f.startCallers(seed)
	calm := w.now
	w.runUntil(calm + 2*time.Second)
	before := w.now
	if shape.Script != nil {
		shape.Script(f)
	} else {
		f.trouble(w.now + shape.Span)
	}
	f.operateAlong(w.now + shape.Span + 2*time.Second)
	f.watchPrimacy(w.now + shape.Span + shape.Tail)
	w.runUntil(w.now + shape.Span)
	if shape.Script == nil {
		f.mend()
	}
	f.closings = append(f.closings, check.Closing{
		Name: "all faults", BeforeFrom: int64(calm + 500*time.Millisecond), BeforeUntil: int64(before), At: int64(w.now),
	})
	w.runUntil(w.now + shape.Tail)
	return f.result(seed)
}

func (f *fleet) result(seed uint64) Result {
	evidence := check.Evidence{
		Events: f.events, Logs: map[string]map[string][]stand.Entry{}, Writer: map[string]string{}, Puts: f.puts, Closings: f.closings,
	}
	for _, event := range f.out {
		event.Outcome, event.Got = "cut", int64(f.world.now)
		evidence.Events = append(evidence.Events, event)
	}
	result := Result{Seed: seed}
	var best *node
	for _, one := range f.nodes {
		if one.isUp && (best == nil || best.serve.Stamp().IsBefore(one.serve.Stamp())) {
			best = one
		}
	}
	for _, one := range f.instances {
		if evidence.Logs[one.database] == nil {
			evidence.Logs[one.database] = map[string][]stand.Entry{}
		}
		evidence.Logs[one.database][one.name] = one.entries
		evidence.Ran = append(evidence.Ran, one.ran...)
		if writer := best.serve.Writer(one.database); writer.Primary != "" {
			evidence.Writer[one.database] = writer.Primary
			result.Terms = max(result.Terms, writer.Term)
		}
	}
	for _, event := range f.events {
		result.Events++
		if event.Outcome == "kept" {
			result.Kept++
		}
		if event.Outcome == "read" {
			result.Reads++
		}
	}
	for _, disk := range f.controls {
		if disk.epoch != nil {
			result.Epochs = max(result.Epochs, disk.epoch.Record().Epoch)
		}
	}
	result.Faults = check.All(evidence)
	if len(f.faults) > 0 {
		result.Faults["simulation"] = f.faults
	}
	result.Trace = fmt.Sprintf("%x", f.world.trace.Sum(nil))
	return result
}
