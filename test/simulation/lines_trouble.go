package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/state/model"
)

type lineTrouble struct {
	name string
	act  func(l *lines, span time.Duration)
}

func (l *lines) anyServer() *server { return pick(l.fleet, l.of(pick(l.fleet, l.databases))) }

func (l *lines) anyHead() *server {
	if head := l.head(pick(l.fleet, l.databases)); head != nil {
		return head
	}
	return l.anyServer()
}

func (l *lines) crash(one *server, span time.Duration) {
	if !one.isEnded {
		l.bounce(&one.machine, one.start, span)
	}
}

func (l *lines) dark(one *server, span time.Duration) {
	one.freeze()
	l.world.after(span, one.thaw)
}

func (l *lines) deafen(one *server, span time.Duration) {
	for _, other := range l.of(one.database) {
		if other != one {
			l.cut([2]string{other.name, one.name}, span)
		}
	}
}

var lineTroubles []lineTrouble

func init() {
	lineTroubles = []lineTrouble{
		{"instance crash", func(l *lines, span time.Duration) { l.crash(l.anyServer(), span) }},
		{"instance dark", func(l *lines, span time.Duration) { l.dark(l.anyServer(), span) }},
		{"primary crash", func(l *lines, span time.Duration) { l.crash(l.anyHead(), span) }},
		{"primary dark", func(l *lines, span time.Duration) { l.dark(l.anyHead(), span) }},
		{"primary leaving", func(l *lines, _ time.Duration) { l.depart(l.anyHead()) }},
		{"instance leaving", func(l *lines, _ time.Duration) { l.depart(l.anyServer()) }},
		{"instance slow", func(l *lines, span time.Duration) {
			one := l.anyServer()
			one.service = l.world.between(40*time.Millisecond, 600*time.Millisecond)
			l.world.after(span, func() { one.service = 5 * time.Millisecond })
		}},
		{"replica lag", func(l *lines, span time.Duration) {
			one := l.anyServer()
			one.delay = l.world.between(100*time.Millisecond, 2*time.Second)
			l.world.after(span, func() { one.delay = 2 * time.Millisecond })
		}},
		{"replica deaf", func(l *lines, span time.Duration) { l.deafen(l.anyServer(), span) }},
		{"replica deaf, primary crash", func(l *lines, span time.Duration) {
			head := l.anyHead()
			for _, one := range l.of(head.database) {
				if one != head {
					l.deafen(one, span)
					break
				}
			}
			l.still(l.world.between(200*time.Millisecond, 2*time.Second), func() { l.crash(head, span) })
		}},
		{"replica gone for good", func(l *lines, span time.Duration) {
			one := l.anyServer()
			if one.role == model.RolePrimary {
				return
			}
			for _, other := range l.of(one.database) {
				isWell := other.isUp && !other.isFrozen && other.leaving == 0 && other.position() == one.position()
				if !isWell || l.replaced[one.database] {
					return
				}
			}
			l.replaced[one.database] = true
			one.isEnded = true
			one.crash()
			l.still(span, func() { l.replaceServer(one) })
		}},
		{"control machine replaced", func(l *lines, span time.Duration) { l.replaceControl(pick(l.fleet, l.controls), span, false) }},
		{"control machine replaced as planned", func(l *lines, span time.Duration) { l.replaceControl(pick(l.fleet, l.controls), span, true) }},
		{"control stopped as planned", func(l *lines, span time.Duration) { l.stopControl(pick(l.fleet, l.controls), span) }},
		{"answers lost", func(l *lines, _ time.Duration) { l.anyServer().lose = 6 }},
		{"connections reset", func(l *lines, _ time.Duration) {
			for _, one := range slices.Clone(l.anyServer().sessions) {
				one.drop()
				one.link.broken()
			}
		}},
		{"node kill", func(l *lines, span time.Duration) {
			one := pick(l.fleet, l.fronts)
			l.bounce(&one.machine, one.start, span)
		}},
		{"node freeze", func(l *lines, span time.Duration) {
			one := pick(l.fleet, l.fronts)
			one.freeze()
			l.world.after(span, func() {
				if one.isFrozen {
					one.thawed = l.world.now
				}
				one.thaw()
			})
		}},
		{"node stopped as planned", func(l *lines, span time.Duration) { pick(l.fleet, l.fronts).stop(span) }},
		{"node cut off", func(l *lines, span time.Duration) {
			lone := pick(l.fleet, l.fronts)
			for _, disk := range l.controls {
				l.cut([2]string{lone.name, disk.name}, span)
				l.cut([2]string{disk.name, lone.name}, span)
			}
			for _, other := range l.fronts {
				l.cut([2]string{lone.name, other.name}, span)
				l.cut([2]string{other.name, lone.name}, span)
			}
		}},
		{"platform late", func(l *lines, span time.Duration) {
			l.wait = l.world.between(500*time.Millisecond, 4*time.Second)
			l.world.after(span, func() { l.wait = 0 })
		}},
		{"platform refuses", func(l *lines, _ time.Duration) { l.refusals = 2 }},
		{"platform doubles", func(l *lines, span time.Duration) {
			l.isDouble = true
			l.world.after(span, func() { l.isDouble = false })
		}},
		{"platform cut off", func(l *lines, span time.Duration) {
			l.isCut = true
			l.world.after(span, func() { l.isCut = false })
		}},
	}
	for _, name := range []string{"control crash", "control primary crash", "control crash between syncs", "control freeze", "control cut off", "control disk lost", "control disk full", "control primary's disk hangs", "control disk slow", "drops", "links slow"} {
		at := slices.IndexFunc(troubles, func(one trouble) bool { return one.name == name })
		lineTroubles = append(lineTroubles, lineTrouble{name, func(l *lines, span time.Duration) { troubles[at].act(l.fleet, span) }})
	}
}

// replaceServer brings a blank replica to the address of one that is gone for good.
func (l *lines) replaceServer(old *server) {
	l.made++
	next := l.addServer(old.database, fmt.Sprintf("%s.%d", strings.Split(old.name, ".")[0], l.made), old.address, old.zone)
	next.role, next.upstream = model.RoleReplica, l.head(old.database)
	next.start()
}

// depart plays a planned end, where another of the database is there.
func (l *lines) depart(one *server) {
	for _, other := range l.of(one.database) {
		if other.leaving != 0 || !other.isUp {
			return
		}
	}
	one.leave()
}

func (l *lines) troubleLines(until time.Duration) {
	pace := l.size.Pace
	if pace == 0 {
		pace = 3 * time.Second
	}
	var act func()
	act = func() {
		if l.world.now >= until {
			return
		}
		next := pick(l.fleet, lineTroubles)
		longest := 4 * time.Second
		if len(l.size.Only) > 0 {
			name := pick(l.fleet, l.size.Only)
			next = lineTroubles[slices.IndexFunc(lineTroubles, func(one lineTrouble) bool { return one.name == name })]
			longest = l.size.Longest
		}
		l.bringLine(next, l.world.between(100*time.Millisecond, longest))
		l.world.after(l.world.between(300*time.Millisecond, pace), act)
	}
	act()
}

func (l *lines) bringLine(next lineTrouble, span time.Duration) {
	l.world.note("trouble: %s for %v", next.name, span)
	for _, phase := range l.phases() {
		l.met[next.name+" / "+phase]++
	}
	l.troubled = max(l.troubled, l.world.now+span)
	next.act(l, span)
}

func (l *lines) ambushLines() {
	isOff := l.ambushes == 0 || l.size.Script != nil || len(l.size.Only) > 0
	if isOff || !l.world.chance(0.2) {
		return
	}
	l.ambushes--
	l.still(l.world.between(0, 600*time.Millisecond), func() {
		l.bringLine(pick(l.fleet, lineTroubles), l.world.between(100*time.Millisecond, 3*time.Second))
	})
}

func (l *lines) mendLines() {
	l.isMended = true
	l.world.note("all is mended")
	l.world.cuts = map[[2]string]bool{}
	l.world.drop, l.world.lag = 0, 0
	l.wait, l.refusals, l.isCut, l.isDouble = 0, 0, false, false
	l.troubled = l.world.now
	for _, disk := range l.controls {
		disk.disk.mend()
		disk.crashAt = 0
		disk.thaw()
		if !disk.isUp {
			disk.start()
		}
	}
	for _, one := range l.fronts {
		if one.isFrozen {
			one.thawed = l.world.now
		}
		one.thaw()
		if !one.isUp {
			one.start()
		}
	}
	for _, one := range l.servers {
		one.delay, one.service, one.lose = 2*time.Millisecond, 5*time.Millisecond, 0
		one.thaw()
		if !one.isUp && !one.isEnded {
			one.start()
		}
	}
}

// LineTroubleNames lists the troubles.
func LineTroubleNames() []string {
	var names []string
	for _, one := range lineTroubles {
		names = append(names, one.name)
	}
	return names
}
