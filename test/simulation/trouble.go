package simulation

import (
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

func (f *fleet) watchPrimacy(until time.Duration) {
	var look func()
	look = func() {
		holders := []string{}
		for _, disk := range f.controls {
			if disk.isUp && disk.isPrimary() {
				holders = append(holders, disk.name)
			}
		}
		if len(holders) > 1 {
			f.miss("%v hold primacy at once at %v", holders, f.world.now)
		}
		if f.world.now < until {
			f.world.after(5*time.Millisecond, look)
		}
	}
	look()
}

func (f *fleet) operateAlong(until time.Duration) {
	w := f.world
	number := 0
	var act func()
	act = func() {
		number++
		id := "put" + time.Duration(number).String()
		expected := f.sequence
		f.operate(id, expected, 0)
		if w.chance(0.3) {
			f.operate(id+"-rival", expected, 0)
		}
		if w.chance(0.4) {
			w.after(w.between(50*time.Millisecond, 900*time.Millisecond), func() { f.operate(id, expected, 0) })
		}
		if w.chance(0.3) {
			f.operate(id+"-booked", 0, wallBase+int64(w.now+w.between(500*time.Millisecond, 4*time.Second)))
		}
		if w.now < until {
			w.after(w.between(400*time.Millisecond, 3*time.Second), act)
		}
	}
	act()
}

type trouble struct {
	name string
	act  func(f *fleet, span time.Duration)
}

func pick[T any](f *fleet, list []T) T { return list[f.world.random.IntN(len(list))] }

var troubles = []trouble{
	{"control crash", func(f *fleet, span time.Duration) {
		disk := pick(f, f.controls)
		f.bounce(&disk.machine, disk.start, span)
	}},
	{"control primary crash", func(f *fleet, span time.Duration) {
		for _, disk := range f.controls {
			if disk.isUp && disk.isPrimary() {
				f.bounce(&disk.machine, disk.start, span)
				return
			}
		}
	}},
	{"control crash between syncs", func(f *fleet, _ time.Duration) {
		pick(f, f.controls).crashAt = 1 + f.world.random.IntN(6)
	}},
	{"control freeze", func(f *fleet, span time.Duration) {
		disk := pick(f, f.controls)
		disk.freeze()
		f.world.after(span, disk.thaw)
	}},
	{"control disk lost", func(f *fleet, span time.Duration) {
		if !f.isWhole() {
			return
		}
		disk := pick(f, f.controls)
		f.bounce(&disk.machine, disk.start, span)
		disk.disk = newDisk()
		f.world.note("%s lost its disk", disk.name)
	}},
	{"control machine replaced", func(f *fleet, span time.Duration) { f.replaceControl(pick(f, f.controls), span, false) }},
	{"control machine replaced as planned", func(f *fleet, span time.Duration) { f.replaceControl(pick(f, f.controls), span, true) }},
	{"control stopped as planned", func(f *fleet, span time.Duration) { f.stopControl(pick(f, f.controls), span) }},
	{"control file torn", func(f *fleet, span time.Duration) {
		if !f.isWhole() {
			return
		}
		disk := pick(f, f.controls)
		f.bounce(&disk.machine, disk.start, span)
		disk.disk.tear()
		f.world.note("%s has a torn file", disk.name)
	}},
	{"control disk full", func(f *fleet, span time.Duration) {
		disk := pick(f, f.controls)
		disk.disk.isFailing = true
		f.world.after(span, func() { disk.disk.isFailing = false })
	}},
	{"control disk hangs", func(f *fleet, span time.Duration) { pick(f, f.controls).disk.hangs = f.world.now + span }},
	{"control primary's disk hangs", func(f *fleet, span time.Duration) {
		for _, disk := range f.controls {
			if disk.isUp && disk.isPrimary() {
				disk.disk.hangs = f.world.now + span
			}
		}
	}},
	{"control disk slow", func(f *fleet, span time.Duration) {
		disk := pick(f, f.controls)
		disk.disk.slow = f.world.between(20*time.Millisecond, 300*time.Millisecond)
		f.world.after(span, func() { disk.disk.slow = 0 })
	}},
	{"node crash", func(f *fleet, span time.Duration) {
		one := pick(f, f.nodes)
		f.bounce(&one.machine, one.start, span)
	}},
	{"node freeze", func(f *fleet, span time.Duration) {
		one := pick(f, f.nodes)
		one.freeze()
		f.world.after(span, one.thaw)
	}},
	{"node stopped as planned", func(f *fleet, span time.Duration) {
		for _, other := range f.nodes {
			if other.isGone {
				return
			}
		}
		pick(f, f.nodes).stop(span)
	}},
	{"nodes restarted in turn", func(f *fleet, _ time.Duration) {
		for _, other := range f.nodes {
			if other.isGone {
				return
			}
		}
		span := time.Duration(0)
		for _, one := range f.nodes {
			f.still(span, func() { one.stop(300 * time.Millisecond) })
			span += 1200 * time.Millisecond
		}
	}},
	{"connections reset", func(f *fleet, _ time.Duration) {
		for _, c := range slices.Clone(pick(f, f.instances).conns) {
			c.reset()
		}
	}},
	{"callers reset", func(f *fleet, _ time.Duration) {
		one := pick(f, f.nodes)
		for _, asker := range slices.Clone(one.remotes) {
			cut := asker.cut
			asker.isReset = cut != nil
			asker.leave()
			if cut != nil {
				asker.do(time.Millisecond, cut)
			}
		}
	}},
	{"callers leave a node", func(f *fleet, _ time.Duration) {
		for _, asker := range slices.Clone(pick(f, f.nodes).remotes) {
			if asker.cut == nil {
				asker.leave()
			}
		}
	}},
	{"rush", func(f *fleet, span time.Duration) {
		f.rush = 8
		f.world.after(span, func() { f.rush = 1 })
	}},
	{"node added", func(f *fleet, _ time.Duration) {
		if len(f.nodes) < f.shape.Nodes+2 {
			f.addNode().start()
		}
	}},
	{"node replaced", func(f *fleet, span time.Duration) {
		if len(f.nodes) >= f.shape.Nodes+2 || len(f.removed) > 1 {
			return
		}
		old := pick(f, f.nodes)
		if old.isUp && !f.removed[old.name] {
			f.removed[old.name] = true
			old.crash()
			f.world.after(span, f.addNode().start)
		}
	}},
	{"weights changed", func(f *fleet, span time.Duration) {
		one := pick(f, f.nodes)
		one.beta = 0.5 + 3.5*f.world.random.Float64()
		f.world.after(span, func() { one.beta = 1 })
	}},
	{"links slow", func(f *fleet, span time.Duration) {
		f.world.lag = f.world.between(20*time.Millisecond, 250*time.Millisecond)
		f.world.after(span, func() { f.world.lag = 0 })
	}},
	{"replica hears nothing, primary dies", func(f *fleet, span time.Duration) {
		database := pick(f, f.databases)
		primary := f.primaryOf(database)
		if primary == nil {
			return
		}
		for _, lone := range f.instances {
			if lone.database == database && lone != primary {
				f.cut([2]string{primary.name, lone.name}, span)
				break
			}
		}
		f.still(f.world.between(0, 2*time.Second), func() { f.bounce(&primary.machine, primary.start, span) })
	}},
	{"instances replaced in turn", func(f *fleet, _ time.Duration) {
		if f.isReplacing {
			return
		}
		f.isReplacing = true
		wait := time.Duration(0)
		database := pick(f, f.databases)
		for _, one := range f.instances {
			if one.database == database {
				f.still(wait, func() { f.replace(one) })
				wait += 9 * time.Second
			}
		}
	}},
	{"one-way cut", func(f *fleet, span time.Duration) {
		way := [2]string{pick(f, f.nodes).name, pick(f, f.controls).name}
		if f.world.chance(0.5) {
			way[0], way[1] = way[1], way[0]
		}
		f.cut(way, span)
	}},
	{"node cut off", func(f *fleet, span time.Duration) {
		lone := pick(f, f.nodes)
		for _, disk := range f.controls {
			f.cut([2]string{lone.name, disk.name}, span)
			f.cut([2]string{disk.name, lone.name}, span)
		}
		for _, other := range f.nodes {
			f.cut([2]string{lone.name, other.name}, span)
			f.cut([2]string{other.name, lone.name}, span)
		}
	}},
	{"control cut off", func(f *fleet, span time.Duration) {
		lone := pick(f, f.controls)
		for _, disk := range f.controls {
			if disk != lone {
				f.cut([2]string{lone.name, disk.name}, span)
				if f.world.chance(0.7) {
					f.cut([2]string{disk.name, lone.name}, span)
				}
			}
		}
	}},
	{"drops", func(f *fleet, span time.Duration) {
		f.world.drop = 0.02
		f.world.after(span, func() { f.world.drop = 0 })
	}},
	{"instance crash", func(f *fleet, span time.Duration) {
		one := pick(f, f.instances)
		f.bounce(&one.machine, one.start, span)
	}},
	{"primary crash", func(f *fleet, span time.Duration) {
		one := f.primaryOf(pick(f, f.databases))
		if one != nil {
			f.bounce(&one.machine, one.start, span)
		}
	}},
	{"primary freeze", func(f *fleet, span time.Duration) {
		one := f.primaryOf(pick(f, f.databases))
		if one != nil {
			one.freeze()
			f.world.after(span, one.thaw)
		}
	}},
	{"instance lost its data", func(f *fleet, span time.Duration) {
		one := pick(f, f.instances)
		for _, other := range f.instances {
			if other.births > 0 {
				return
			}
		}
		if !f.isSound(one.database) {
			return
		}
		if writer := f.nodes[0].hall.Serve().Writer(one.database); len(writer.Candidates) < 2 {
			return
		}
		f.bounce(&one.machine, one.start, span)
		one.wipe()
		for _, other := range f.instances {
			if other.database == one.database && other != one && one.upstream == nil {
				one.upstream = other
			}
		}
	}},
	{"replica lag", func(f *fleet, span time.Duration) {
		one := pick(f, f.instances)
		one.delay = f.world.between(200*time.Millisecond, 3*time.Second)
		f.world.after(span, func() { one.delay = 2 * time.Millisecond })
	}},
	{"replica hears nothing", func(f *fleet, span time.Duration) {
		lone := pick(f, f.instances)
		for _, other := range f.instances {
			if other.database == lone.database && other != lone {
				f.cut([2]string{other.name, lone.name}, span)
			}
		}
	}},
	{"instance slow", func(f *fleet, span time.Duration) {
		one := pick(f, f.instances)
		one.service = f.world.between(50*time.Millisecond, 900*time.Millisecond)
		f.world.after(span, func() { one.service = 8 * time.Millisecond })
	}},
	{"instance leaving", func(f *fleet, span time.Duration) {
		one := pick(f, f.instances)
		if one.leaving != 0 {
			return
		}
		one.leaving = int64(f.world.now)
		f.world.after(span, func() { one.leaving = 0 })
	}},
	{"instance silent", func(f *fleet, span time.Duration) {
		one := pick(f, f.instances)
		one.isSilent = true
		f.world.after(span, func() { one.isSilent = false })
	}},
	{"answers lost", func(f *fleet, _ time.Duration) { pick(f, f.instances).lose = 5 }},
	{"platform slow", func(f *fleet, span time.Duration) {
		f.platform.wait = f.world.between(100*time.Millisecond, 2*time.Second)
		f.world.after(span, func() { f.platform.wait = 0 })
	}},
	{"platform refuses", func(f *fleet, _ time.Duration) { f.platform.refusals = 2 }},
	{"platform leaves the old primary", func(f *fleet, span time.Duration) {
		f.platform.isLoose = true
		f.world.after(span, func() { f.platform.isLoose = false })
	}},
	{"platform acts late", func(f *fleet, span time.Duration) {
		f.platform.wait = f.world.between(2*time.Second, 7*time.Second)
		f.world.after(span, func() { f.platform.wait = 0 })
	}},
	{"platform cut off", func(f *fleet, span time.Duration) {
		f.platform.isCut = true
		f.world.after(span, func() { f.platform.isCut = false })
	}},
	{"clock set wrong", func(f *fleet, span time.Duration) {
		disk := pick(f, f.controls)
		skew := disk.skew
		disk.skew += f.world.between(-3*time.Second, 3*time.Second)
		f.world.after(span, func() { disk.skew = skew })
	}},
}

func (f *fleet) isWhole() bool {
	var voters []string
	for _, disk := range f.controls {
		if disk.isUp && disk.isPrimary() {
			voters = disk.epoch.Voters()
		}
	}
	return len(voters) > 0 && !slices.ContainsFunc(voters, func(name string) bool {
		disk := f.controlBy(name)
		isThere := slices.Contains(f.controls, disk) && disk.isUp && disk.epoch.IsMember()
		return !isThere || disk.epoch.Record().Backup == "" || !disk.epoch.IsAtRest()
	})
}

func (f *fleet) cut(way [2]string, span time.Duration) {
	f.world.cuts[way] = true
	f.world.note("cut %s from %s", way[1], way[0])
	f.world.after(span, func() { delete(f.world.cuts, way) })
}

func (f *fleet) trouble(until time.Duration) {
	var act func()
	act = func() {
		if f.world.now >= until {
			return
		}
		next := pick(f, troubles)
		longest := 5 * time.Second
		if len(f.shape.Only) > 0 {
			name := pick(f, f.shape.Only)
			next = troubles[slices.IndexFunc(troubles, func(one trouble) bool { return one.name == name })]
			longest = f.shape.Longest
		}
		span := f.world.between(100*time.Millisecond, longest)
		f.bring(next, span)
		f.world.after(f.world.between(200*time.Millisecond, 2500*time.Millisecond), act)
	}
	act()
}

func (f *fleet) bring(next trouble, span time.Duration) {
	f.world.note("trouble: %s for %v", next.name, span)
	for _, phase := range f.phases() {
		f.met[next.name+" / "+phase]++
	}
	next.act(f, span)
}

// Phases in which a trouble may meet a fleet.
var Phases = []string{model.PhaseOpen, model.PhaseClosing, model.PhaseClosed, model.PhaseIntent, "epoch change", "set pending", "node stopping"}

// TroubleNames lists the troubles.
func TroubleNames() []string {
	var names []string
	for _, one := range troubles {
		names = append(names, one.name)
	}
	return names
}

func (f *fleet) phases() []string {
	var held []string
	isSettled := false
	for _, disk := range f.controls {
		if !disk.isUp || !disk.isPrimary() {
			continue
		}
		isSettled = true
		doc := disk.steer.Doc()
		for _, database := range f.databases {
			if phase := doc.Writers[database].Phase; phase != "" && !slices.Contains(held, phase) {
				held = append(held, phase)
			}
		}
		if doc.IsPending() {
			held = append(held, "set pending")
		}
	}
	if !isSettled {
		held = append(held, "epoch change")
	}
	if slices.ContainsFunc(f.nodes, func(n *node) bool { return n.isGone }) {
		held = append(held, "node stopping")
	}
	return held
}

func (f *fleet) ambush() {
	if f.ambushes == 0 || !f.world.chance(0.25) {
		return
	}
	f.ambushes--
	f.still(f.world.between(0, 600*time.Millisecond), func() {
		f.bring(pick(f, troubles), f.world.between(100*time.Millisecond, 4*time.Second))
	})
}

func (f *fleet) still(span time.Duration, act func()) {
	f.world.after(span, func() {
		if !f.isMended {
			act()
		}
	})
}

// rest ends what was drawn for the time of the faults and would go on into the
// calm, also in a scripted run, which mends nothing else.
func (f *fleet) rest() {
	f.isMended, f.ambushes = true, 0
	for _, one := range f.instances {
		one.leaving = 0
	}
}

func (f *fleet) primaryOf(database string) *instance {
	return f.instanceBy(f.nodes[0].hall.Serve().Writer(database).Primary)
}

func (f *fleet) isSound(database string) bool {
	writer := f.nodes[0].hall.Serve().Writer(database)
	primary := f.instanceBy(writer.Primary)
	if primary == nil || writer.Phase != model.PhaseOpen || primary.term != writer.Term {
		return false
	}
	for _, one := range f.instances {
		if one.database == database && (!one.isUp || one.isFrozen || one.position().Term != primary.position().Term) {
			return false
		}
	}
	return true
}

func (f *fleet) replace(one *instance) {
	if !f.isSound(one.database) {
		return
	}
	one.leaving = int64(f.world.now)
	f.still(4*time.Second, func() {
		writer := f.nodes[0].hall.Serve().Writer(one.database)
		_, isCandidate := writer.Candidates[one.name]
		one.leaving = 0
		if !f.isSound(one.database) || writer.Primary == one.name || (isCandidate && len(writer.Candidates) < 2) {
			return
		}
		f.bounce(&one.machine, one.start, time.Second)
		one.wipe()
		one.upstream = f.instanceBy(writer.Primary)
	})
}

func (f *fleet) mend() {
	f.isMended = true
	f.world.note("all is mended")
	f.world.cuts = map[[2]string]bool{}
	f.world.drop, f.world.lag, f.rush = 0, 0, 1
	f.platform.wait, f.platform.refusals, f.platform.isCut = 0, 0, false
	f.platform.isLoose = false
	for _, disk := range f.controls {
		disk.disk.mend()
		disk.crashAt = 0
		disk.thaw()
		if !disk.isUp {
			disk.start()
		}
	}
	for _, one := range f.nodes {
		one.thaw()
		if !one.isUp && !f.removed[one.name] {
			one.start()
		}
	}
	for _, one := range f.instances {
		one.delay, one.service, one.leaving, one.isSilent, one.lose = 2*time.Millisecond, 8*time.Millisecond, 0, false, 0
		one.thaw()
		if !one.isUp {
			one.start()
		}
	}
}
