package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// LinePlant is a defect put on purpose into what surrounds the machines of a
// fleet of synced instances.
type LinePlant struct {
	// IsTexting: a node changes texts on their way.
	IsTexting bool
	// IsSwapping: a node answers with what another client was answered.
	IsSwapping bool
	// IsUnclean: instances do not do what RESET says.
	IsUnclean bool
	// IsDoubling: a node sends single writes twice.
	IsDoubling bool
	// IsPromising: a node tells BUSY in place of UNKNOWN.
	IsPromising bool
	// IsFloorless: floors are lost on their way.
	IsFloorless bool
	// IsLeaseless: every lease that a node hears is a hundred times longer.
	IsLeaseless bool
	// IsWorst: duties call for the replica that is furthest behind.
	IsWorst bool
	// IsStubborn: no node hears that an instance leaves.
	IsStubborn bool
	// IsHasty: a node that is told to stop ends all sessions at once.
	IsHasty bool
	// IsDeaf: a node that starts again asks for no news.
	IsDeaf bool
	// IsLate: answers are told to a node's machine as if they came later.
	IsLate bool
	// IsPressing: a node is told of a weight that is not its own.
	IsPressing bool
}

// LineShape is the size of a simulated fleet of synced instances.
type LineShape struct {
	Controls, Nodes, Databases, Clients int
	Connections, Slots                  int
	Span, Tail                          time.Duration
	// IsFenced says that control relies on the fences that the platform checks.
	IsFenced bool
	// Pace is the longest from one trouble to the next, 3 s where not given.
	Pace time.Duration
	// Only, where given, names the troubles that may come, and Longest is the
	// longest that one lasts.
	Only    []string
	Longest time.Duration
	// Loose is the target of the bindings that may be stale; the others have
	// 200 ms, as they where it is not given.
	Loose time.Duration
	// Script, where given, is played in place of random troubles.
	Script func(*lines)
}

// SmallLines is a fleet of synced instances with three control machines.
func SmallLines() LineShape {
	return LineShape{IsFenced: true, Controls: 3, Nodes: 3, Databases: 2, Clients: 20, Connections: 24, Slots: 6, Span: 20 * time.Second, Tail: 18 * time.Second}
}

// CrowdedLines gives a fleet with more nodes than an instance takes connections.
func CrowdedLines() LineShape {
	return LineShape{Controls: 3, Nodes: 14, Databases: 2, Clients: 20, Connections: 11, Slots: 6, Span: 12 * time.Second, Tail: 18 * time.Second}
}

// LargeLines is one with five, and more nodes and troubles at once.
func LargeLines() LineShape {
	return LineShape{Controls: 5, Nodes: 5, Databases: 2, Clients: 36, Connections: 40, Slots: 6, Span: 24 * time.Second, Tail: 18 * time.Second, Pace: 1500 * time.Millisecond}
}

// Names of the rules that RunLines checks.
const (
	RuleUnasked = "UNASKED"
	RuleMixed   = "MIXED"
	RulePinned  = "PINNED"
	RuleTwice   = "TWICE"
	RuleRefused = "REFUSED"
	RuleStale   = "STALE"
	RuleOne     = "ONE"
	RuleLost    = "LOST"
	RuleDrain   = "DRAIN"
	RuleConfig  = "CONFIG"
	RuleRecover = "RECOVER"
	RuleWire    = "wire"
	RuleWindow  = "window"
)

const (
	applyBound     = 3 * time.Second
	downgradeBound = 250 * time.Millisecond
	drainBound     = 7 * time.Second
	contactBound   = 4 * time.Second
	recoverBound   = 12 * time.Second
	unfreezeBound  = 300 * time.Millisecond
	opBound        = 2 * time.Second
)

type taken struct {
	version uint64
	at      time.Duration
}

type lines struct {
	*fleet
	defect   LinePlant
	size     LineShape
	fronts   []*front
	servers  []*server
	hosts    map[string]*server
	people   []*person
	broken   map[string][]string
	asks     map[string]*ask
	stamps   map[string]string
	appended map[string]model.Position
	promised map[string]string
	kept     map[string]*ledger
	leaders  map[string]uint64
	sentAt   map[uint64]time.Duration
	acked    []taken
	lowest   []taken
	version  uint64
	troubled time.Duration
	fences   map[string]uint64
	wait     time.Duration
	refusals int
	isLoose  bool
	isCut    bool
	isDouble bool
	late     struct{ asked, served int }
	lateFrom time.Duration
	served   int
	writes   int
	codes    map[string]int
	swapped  string
	made     int
	replaced map[string]bool

	isMirrored      bool
	moves, blind    int
	widest, slowest float64
}

// ledger is what clients were told kept of one database, in order.
type ledger struct {
	at       []time.Duration
	furthest []model.Position
}

func (l *lines) fault(rule, format string, parts ...any) {
	text := fmt.Sprintf("%9.3f ", (l.world.now-time.Hour).Seconds()*1000) + fmt.Sprintf(format, parts...)
	l.broken[rule] = append(l.broken[rule], text)
	l.world.note("BROKEN %s: %s", rule, text)
}

func newLines(seed uint64, size LineShape, defect LinePlant) *lines {
	w := newWorld(seed)
	f := &fleet{world: w, shape: Shape{Controls: size.Controls}, met: map[string]int{}, isSeen: map[string]bool{}, removed: map[string]bool{}, ambushes: 8}
	l := &lines{
		fleet: f, defect: defect, size: size, hosts: map[string]*server{}, broken: map[string][]string{}, asks: map[string]*ask{},
		stamps: map[string]string{}, appended: map[string]model.Position{}, promised: map[string]string{}, kept: map[string]*ledger{},
		leaders: map[string]uint64{}, sentAt: map[uint64]time.Duration{}, fences: map[string]uint64{}, codes: map[string]int{}, replaced: map[string]bool{},
	}
	f.lines = l
	f.platform = &platform{machine: f.machine("platform"), fleet: f}
	f.platform.isUp = true
	for at := range size.Controls {
		f.controls = append(f.controls, &control{machine: f.machine(fmt.Sprintf("c%d", at+1)), fleet: f, disk: newDisk()})
	}
	for at := range size.Nodes {
		one := &front{machine: f.machine(fmt.Sprintf("d%d", at+1)), lines: l}
		one.zone, one.crashed = zones[at%len(zones)], one.onCrash
		l.fronts = append(l.fronts, one)
	}
	for at := range size.Databases {
		database := fmt.Sprintf("db%d", at+1)
		f.databases = append(f.databases, database)
		l.kept[database], l.leaders[database] = &ledger{}, 1
		for rank := range 3 {
			one := l.addServer(database, fmt.Sprintf("%s-%c", database, 'a'+rank), fmt.Sprintf("%s-%c:1", database, 'a'+rank), zones[rank])
			one.role, one.term = model.RoleReplica, 1
			if rank == 0 {
				one.role = model.RolePrimary
			}
		}
		for _, one := range l.of(database) {
			one.upstream = l.hosts[database+"-a:1"]
		}
	}
	for _, one := range l.servers {
		one.start()
	}
	for _, one := range f.controls {
		one.start()
	}
	for _, one := range l.fronts {
		one.start()
	}
	return l
}

func (l *lines) of(database string) []*server {
	var list []*server
	for _, one := range l.servers {
		if one.database == database && !one.isEnded {
			list = append(list, one)
		}
	}
	return list
}

func (l *lines) head(database string) *server {
	var best *server
	for _, one := range l.of(database) {
		if one.role == model.RolePrimary && (best == nil || one.term > best.term) {
			best = one
		}
	}
	return best
}

func (l *lines) setOf(version uint64) model.Set {
	set := model.Set{Version: version, Limits: model.Limits{Inside: 3 * time.Second}}
	add := func(name, database string, freshness time.Duration, isOwn bool) {
		set.Bindings = append(set.Bindings, model.Binding{
			Name: name, Database: database, Freshness: freshness, IsOwn: isOwn, Timeout: 1500 * time.Millisecond, Target: l.targetOf(name), Priority: 1,
		})
	}
	for _, database := range l.databases {
		set.Databases = append(set.Databases, model.Database{Name: database, Connections: l.size.Connections, Synced: 1})
		add(database+"-strict", database, 0, false)
		add(database+"-stale", database, staleBound, false)
		add(database+"-own", database, staleBound, true)
	}
	add("mark", l.marked(version), 0, false)
	return set
}

const staleBound = 1500 * time.Millisecond

func (l *lines) marked(version uint64) string { return l.databases[version%uint64(len(l.databases))] }

// configure sends a version until it is answered.
func (l *lines) configure(version uint64, goes int) {
	operator := &machine{world: l.world, name: "operator", isUp: true}
	if l.sentAt[version] == 0 {
		l.sentAt[version] = l.world.now
	}
	isOver := false
	for _, disk := range l.controls {
		if disk.isUp && !disk.isFrozen && disk.isPrimary() {
			l.world.send(operator, &disk.machine, func() { l.replace(operator, disk, version, &isOver) })
			break
		}
	}
	l.world.after(time.Second, func() {
		if !isOver && goes > 0 {
			l.configure(version, goes-1)
		}
	})
}

func (l *lines) replace(operator *machine, disk *control, version uint64, isOver *bool) {
	if !disk.isPrimary() {
		return
	}
	disk.submit(func(held *store.Table) []store.Put {
		set := l.setOf(version)
		puts, _ := distribution.PutManifest(held, distribution.Manifest{Version: version, Set: set, Digest: distribution.DigestOf(set, nil), Source: "operator"}, disk.wallNow())
		return puts
	}, func(done consensus.Answer) {
		if !done.IsKept {
			return
		}
		l.world.send(&disk.machine, operator, func() {
			if !*isOver {
				*isOver = true
				l.acked = append(l.acked, taken{version, l.world.now})
				l.world.note("operator: version %d acknowledged", version)
			}
		})
	})
}

func (l *lines) configureAlong(until time.Duration) {
	var act func()
	act = func() {
		l.version += 1 + uint64(l.world.random.IntN(2))*2
		l.configure(l.version, 8)
		if l.world.chance(0.2) && l.version > 2 {
			old := l.version - 1
			if l.sentAt[old] != 0 {
				l.configure(old, 0)
			}
		}
		if l.world.now < until {
			l.world.after(l.world.between(1500*time.Millisecond, 6*time.Second), act)
		}
	}
	act()
}

// marks checks where a request on the marked route ran.
func (l *lines) marks(one *ask, server *server) {
	isDisturbed := one.person.home == nil || one.person.home.thawed > one.sent-unfreezeBound || one.person.home.isFrozen
	newest := uint64(0)
	if l.world.now-l.troubled > 2*contactBound {
		for _, ack := range l.acked {
			if ack.at+applyBound < one.sent {
				newest = max(newest, ack.version)
			}
		}
	}
	if !isDisturbed {
		for _, low := range l.lowest {
			if low.at+downgradeBound < one.sent {
				newest = max(newest, low.version)
			}
		}
	}
	if l.allowing(server.database, newest) == 0 {
		l.fault(RuleConfig, "%s sent at %.3f ran at %s, as only a version before %d allows", one.id, (one.sent-time.Hour).Seconds()*1000, server.name, newest)
	}
	if len(l.lowest) == 0 || l.lowest[len(l.lowest)-1].version < one.version {
		l.lowest = append(l.lowest, taken{one.version, l.world.now})
	}
}

// allowing gives the lowest version at or past one that has the marked route
// at a database.
func (l *lines) allowing(database string, from uint64) uint64 {
	for _, version := range slices.Sorted(maps.Keys(l.sentAt)) {
		if version >= from && l.marked(version) == database {
			return version
		}
	}
	return 0
}

// LineResult is what one simulated run showed.
type LineResult struct {
	Seed   uint64
	Faults map[string][]string
	Served int
	Writes int
	Terms  uint64
	Trace  string
	Codes  map[string]int
	Met    map[string]int
}

// RunLines simulates one seed of a fleet of synced instances.
func RunLines(seed uint64, size LineShape, defect LinePlant, log func(string, ...any)) LineResult {
	l := newLines(seed, size, defect)
	if log != nil {
		l.world.log = log
	}
	w := l.world
	w.runUntil(w.now + 1500*time.Millisecond)
	l.version = 1
	l.configure(1, 20)
	w.runUntil(w.now + 4*time.Second)
	l.startPeople(seed)
	w.runUntil(w.now + 2*time.Second)
	if size.Script != nil {
		size.Script(l)
	} else {
		l.troubleLines(w.now + size.Span)
	}
	l.configureAlong(w.now + size.Span + size.Tail - 8*time.Second)
	l.watchPrimacy(w.now + size.Span + size.Tail)
	w.runUntil(w.now + size.Span)
	l.mendLines()
	l.lateFrom = w.now + recoverBound
	w.runUntil(w.now + size.Tail)
	return l.finish(seed)
}

func (l *lines) finish(seed uint64) LineResult {
	result := LineResult{Seed: seed, Faults: l.broken, Served: l.served, Writes: l.writes, Codes: l.codes, Met: l.met}
	if l.late.asked < 10 || l.late.served*4 < l.late.asked*3 {
		l.fault(RuleRecover, "%d of %d served from %v after all was mended on", l.late.served, l.late.asked, recoverBound)
	}
	for _, database := range l.databases {
		result.Terms = max(result.Terms, l.leaders[database])
		head := l.head(database)
		if head == nil {
			l.fault(RuleRecover, "%s has no primary at the end", database)
			continue
		}
		l.whole(head, "the primary at the end")
	}
	newest, held := uint64(0), uint64(0)
	for _, ack := range l.acked {
		newest = max(newest, ack.version)
	}
	for _, disk := range l.controls {
		if disk.isUp && disk.isPrimary() {
			held = disk.steer.Doc().Newest().Version
			l.settledAll(disk)
		}
	}
	if held < newest {
		l.fault(RuleLost, "version %d was acknowledged, %d is held", newest, held)
	}
	if len(l.faults) > 0 {
		l.broken["simulation"] = l.faults
	}
	result.Trace = fmt.Sprintf("%x", l.world.trace.Sum(nil))
	return result
}

// settledAll checks that every writer role is open, or just moved.
func (l *lines) settledAll(disk *control) {
	for _, database := range l.databases {
		writer := disk.steer.Doc().Writers[database]
		if writer.Phase != model.PhaseOpen && disk.wallNow()-writer.Since > int64(5*time.Second) {
			l.fault(RuleRecover, "%s is %s at the end: %s", database, writer.Phase, writer.Why)
		}
	}
}

// whole checks that a log has all that clients were told kept.
func (l *lines) whole(one *server, what string) {
	held := l.kept[one.database]
	for at, position := range held.furthest {
		if !one.holds(position) {
			l.fault(RuleLost, "%s, %s at %v, lacks %v, told kept at %.3f", what, one.name, one.position(), position, (held.at[at]-time.Hour).Seconds()*1000)
			return
		}
	}
}

func (l *lines) toldKept(database string, position model.Position) {
	held := l.kept[database]
	held.at, held.furthest = append(held.at, l.world.now), append(held.furthest, position)
}

// missing gives a commit told kept before a moment that a log prefix lacks.
func (l *lines) missing(one *server, size int, before time.Duration) (model.Position, bool) {
	held := l.kept[one.database]
	var worst model.Position
	for at := len(held.at) - 1; at >= 0; at-- {
		if held.at[at] < before {
			worst = worst.Later(held.furthest[at])
			if len(held.at)-at > 400 {
				break
			}
		}
	}
	if worst == (model.Position{}) {
		return worst, false
	}
	return worst, int(worst.Index) > size || !one.holds(worst)
}

func joined(values map[string]string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, name+"="+values[name])
	}
	return strings.Join(parts, " ")
}
