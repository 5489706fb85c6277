package simulation

import (
	"math"
	"strings"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/pool/linepool"
	words "tansyseam/internal/state/lineproto"
)

// owedAnswer is what an instance still has to answer on a link. Scored ones
// hold a place in the window, a begin until the statement that follows ends.
type expectedAnswer struct {
	scored, begin bool
	scale         float64
}

// placed is a link's place in the window of its instance.
type windowSlot struct {
	taken, begin, begun bool
	takenAt             time.Duration
	scale               float64
}

const referenceLatencyTarget = 200 * time.Millisecond

func (n *lineNode) admissionReading(name string) (flowcontrol.Reading, bool) {
	instances, _ := n.pool.Status(n.clock())
	for _, one := range instances {
		if one.Instance.Name == name {
			return one.Window, true
		}
	}
	return flowcontrol.Reading{}, false
}

func (n *lineNode) windowModelFor(name string) *windowModel {
	if !n.fleet.modelsWindows {
		return nil
	}
	reading, found := n.admissionReading(name)
	if !found {
		return nil
	}
	held := n.windowModels[name]
	if held == nil {
		held = newWindowModel(1, reading.MaxWindow)
		n.windowModels[name] = held
	}
	held.maxWindow = reading.MaxWindow
	held.window = math.Min(held.window, held.maxWindow)
	if held.updates == 0 && held.samples == 0 && held.inFlight == 0 {
		held.window = math.Min(2, held.maxWindow)
	}
	return held
}

func (n *lineNode) modelSend(link *lineConnection, outs []linepool.Command) {
	if !n.fleet.modelsWindows {
		return
	}
	link.expectedAnswers = append(link.expectedAnswers, make([]expectedAnswer, len(outs)-1)...)
	last := outs[len(outs)-1]
	one := expectedAnswer{begin: last.Kind == linepool.CommandBegin || last.Kind == linepool.CommandBeginReadOnly}
	one.scored = one.begin || last.Kind == linepool.CommandText || last.Kind == linepool.CommandExecute
	if asked := n.fleet.queries[last.ID]; asked != nil {
		one.scale = referenceLatencyTarget.Seconds() / n.fleet.latencyTarget(asked.client.route).Seconds()
	}
	link.expectedAnswers = append(link.expectedAnswers, one)
	held := n.windowModelFor(link.instance.name)
	if !one.scored || held == nil {
		return
	}
	if !link.slot.taken {
		if room := int(math.Max(1, math.Floor(held.window+1e-9))); held.inFlight >= room {
			n.fleet.addRuleViolation(RuleWindow, "%s has %d out at %s, with a window of %v", n.name, held.inFlight+1, link.instance.name, held.window)
		}
		held.begin()
	}
	link.slot = windowSlot{taken: true, begin: one.begin, takenAt: n.clock(), scale: one.scale}
}

var codesWithoutWork = map[words.Code]bool{words.CodeBusy: true, words.CodeLagging: true, words.CodeReadOnly: true, words.CodeNotFound: true}

func (n *lineNode) modelAnswer(link *lineConnection, message words.Message) {
	if len(link.expectedAnswers) == 0 {
		return
	}
	first := link.expectedAnswers[0]
	if message.Kind == words.KindDone || message.Kind == words.KindError {
		link.lastResult = message
	}
	if message.Kind != words.KindReady {
		return
	}
	link.expectedAnswers = link.expectedAnswers[1:]
	held := n.windowModelFor(link.instance.name)
	if !first.scored || held == nil {
		return
	}
	if first.begin && link.lastResult.Kind == words.KindDone && message.State == words.StateInTransaction {
		link.slot.begun = true
		return
	}
	age := n.clock() - link.slot.takenAt
	isWorked := !first.begin && (link.lastResult.Kind != words.KindError || !codesWithoutWork[link.lastResult.Code])
	link.slot = windowSlot{}
	held.inFlight--
	if isWorked {
		held.addSample(time.Duration(float64(age) * first.scale))
	}
}

// mirrorShut takes in that a link is over: what was out there counts its age,
// and no less than the threshold. Whose begin was out is not known from here:
// that window is taken as the node shows it.
func (n *lineNode) modelClose(link *lineConnection) {
	place := link.slot
	link.slot = windowSlot{}
	held := n.windowModelFor(link.instance.name)
	if !place.taken || held == nil {
		return
	}
	held.inFlight--
	if place.begin && !place.begun {
		held.uncertain = true
		n.fleet.uncertainWindows++
	}
	if !place.begin {
		held.addSample(max(time.Duration(float64(n.clock()-place.takenAt)*place.scale), 30*time.Millisecond))
	}
}

func (n *lineNode) checkWindows(now time.Duration) {
	if !n.fleet.modelsWindows {
		return
	}
	for _, one := range n.fleet.lineInstances {
		held := n.windowModelFor(one.name)
		if held == nil {
			continue
		}
		reading, _ := n.admissionReading(one.name)
		before := held.updates
		held.tick(now)
		isFar := math.Abs(held.window-reading.Size) > 1e-6 || math.Abs(held.cal-float64(reading.AverageLatency)) > 2
		if isFar && !held.uncertain {
			n.fleet.addRuleViolation(RuleWindow, "%s for %s: window %v and CAL %v, by the equations %v and %v", n.name, one.name, reading.Size, reading.AverageLatency, held.window, time.Duration(held.cal))
		}
		if isFar {
			held.window, held.cal = reading.Size, float64(reading.AverageLatency)
		}
		held.uncertain = held.uncertain && held.updates == before
		n.fleet.windowUpdates = max(n.fleet.windowUpdates, held.updates)
		n.fleet.maxWindow, n.fleet.maxLatency = math.Max(n.fleet.maxWindow, held.window), math.Max(n.fleet.maxLatency, held.cal)
	}
}

func (l *lineFleet) latencyTarget(route string) time.Duration {
	if l.lineConfig.StaleLatencyTarget > 0 && strings.HasSuffix(route, "-stale") {
		return l.lineConfig.StaleLatencyTarget
	}
	return referenceLatencyTarget
}
