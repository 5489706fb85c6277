package simulation

import (
	"math"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
)

// expectedAnswer is what an instance still has to answer on a connection.
type expectedAnswer struct {
	// scored answers hold a slot of the window; that of a begin is held until
	// the statement that follows has ended.
	scored, begin bool
	// scale brings latencies to the reference target.
	scale float64
}

// windowSlot is a connection's slot in the window of its instance.
type windowSlot struct {
	taken, begin, begun bool
	takenAt             time.Duration
	scale               float64
}

// connectionWindow is what the model of the window knows of a connection.
type connectionWindow struct {
	expectedAnswers []expectedAnswer
	slot            windowSlot
	lastResult      lineproto.Message
}

// codesWithoutWork are those of statements that an instance did not work on,
// whose latency does not count.
var codesWithoutWork = map[lineproto.Code]bool{
	lineproto.CodeBusy: true, lineproto.CodeLagging: true, lineproto.CodeReadOnly: true, lineproto.CodeNotFound: true,
}

func (n *lineNode) admissionReading(name string) (flowcontrol.Reading, bool) {
	instances, _ := n.pool.Status(n.clock())
	for _, instance := range instances {
		if instance.Instance.Name == name {
			return instance.Window, true
		}
	}
	return flowcontrol.Reading{}, false
}

// windowModelFor gives the model of the window for an instance; nil where the
// run models none, or the node knows no such instance.
func (n *lineNode) windowModelFor(name string) *windowModel {
	if !n.fleet.windows.enabled {
		return nil
	}
	reading, found := n.admissionReading(name)
	if !found {
		return nil
	}
	model := n.windowModels[name]
	if model == nil {
		model = newWindowModel(1, reading.MaxWindow)
		n.windowModels[name] = model
	}
	model.limit(reading.MaxWindow)
	if model.isUnused() {
		model.window = math.Min(initialWindow, model.maxWindow)
	}
	return model
}

func (m *windowModel) isUnused() bool { return m.updates == 0 && m.samples == 0 && m.inFlight == 0 }

// modelSend takes in commands that are sent. The last one may take a slot; the
// others only prepare the session.
func (n *lineNode) modelSend(connection *lineConnection, commands []linepool.Command) {
	if !n.fleet.windows.enabled {
		return
	}
	window, last := &connection.window, commands[len(commands)-1]
	expected := n.expectedAnswerTo(last)
	window.expectedAnswers = append(window.expectedAnswers, make([]expectedAnswer, len(commands)-1)...)
	window.expectedAnswers = append(window.expectedAnswers, expected)
	model := n.windowModelFor(connection.instance.name)
	if !expected.scored || model == nil {
		return
	}
	if !window.slot.taken {
		n.checkRoom(connection.instance.name, model)
		model.begin()
	}
	window.slot = windowSlot{taken: true, begin: expected.begin, takenAt: n.clock(), scale: expected.scale}
}

func (n *lineNode) expectedAnswerTo(command linepool.Command) expectedAnswer {
	begin := command.Kind == linepool.CommandBegin || command.Kind == linepool.CommandBeginReadOnly
	expected := expectedAnswer{begin: begin, scored: begin || command.Kind == linepool.CommandText || command.Kind == linepool.CommandExecute}
	if sent := n.fleet.checker.queries[command.ID]; sent != nil {
		expected.scale = referenceLatencyTarget.Seconds() / n.fleet.latencyTarget(sent.client.route).Seconds()
	}
	return expected
}

// checkRoom checks that the window has room for one more.
func (n *lineNode) checkRoom(instance string, model *windowModel) {
	room := int(math.Max(1, math.Floor(model.window+roundingMargin)))
	if model.inFlight >= room {
		n.fleet.checker.addViolation(RuleWindow, "%s has %d out at %s, with a window of %v", n.name, model.inFlight+1, instance, model.window)
	}
}

// modelAnswer takes in a message from an instance.
func (n *lineNode) modelAnswer(connection *lineConnection, message lineproto.Message) {
	window := &connection.window
	if len(window.expectedAnswers) == 0 {
		return
	}
	if message.Kind == lineproto.KindDone || message.Kind == lineproto.KindError {
		window.lastResult = message
	}
	if message.Kind != lineproto.KindReady {
		return
	}
	expected := window.expectedAnswers[0]
	window.expectedAnswers = window.expectedAnswers[1:]
	model := n.windowModelFor(connection.instance.name)
	if !expected.scored || model == nil {
		return
	}
	result := window.lastResult
	if expected.begin && result.Kind == lineproto.KindDone && message.State == lineproto.StateInTransaction {
		window.slot.begun = true
		return
	}
	latency := n.clock() - window.slot.takenAt
	worked := !expected.begin && (result.Kind != lineproto.KindError || !codesWithoutWork[result.Code])
	window.slot = windowSlot{}
	model.inFlight--
	if worked {
		model.addSample(time.Duration(float64(latency) * expected.scale))
	}
}

// modelClose takes in that a connection is closed. A statement that was in
// flight counts with its age, and no less than the threshold. Whether a begin
// that was in flight counts is not known from here, so that the window is
// taken over from the product once.
func (n *lineNode) modelClose(connection *lineConnection) {
	slot := connection.window.slot
	connection.window.slot = windowSlot{}
	model := n.windowModelFor(connection.instance.name)
	if !slot.taken || model == nil {
		return
	}
	model.inFlight--
	if slot.begin && !slot.begun {
		model.uncertain = true
		n.fleet.windows.uncertain++
	}
	if !slot.begin {
		age := time.Duration(float64(n.clock()-slot.takenAt) * slot.scale)
		model.addSample(max(age, time.Duration(paperThresholdNanos)))
	}
}

// checkWindows compares each window of the node with its model.
func (n *lineNode) checkWindows(now time.Duration) {
	if !n.fleet.windows.enabled {
		return
	}
	for _, instance := range n.fleet.instances {
		if model := n.windowModelFor(instance.name); model != nil {
			n.checkWindow(instance.name, model, now)
		}
	}
}

func (n *lineNode) checkWindow(instance string, model *windowModel, now time.Duration) {
	reading, _ := n.admissionReading(instance)
	updates := model.updates
	model.tick(now)
	differs := model.differsFrom(reading)
	if differs && !model.uncertain {
		n.fleet.checker.addViolation(RuleWindow, "%s for %s: window %v and CAL %v, by the equations %v and %v", n.name, instance, reading.Size, reading.AverageLatency, model.window, time.Duration(model.averageLatency))
	}
	if differs {
		model.adopt(reading)
	}
	model.uncertain = model.uncertain && model.updates == updates
	n.fleet.windows.observe(model)
}
