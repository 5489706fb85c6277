package simulation

import (
	"math"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
)

// expectedAnswer is an answer that an instance still owes on a connection.
type expectedAnswer struct {
	// takesSlot is true if the command takes a slot of the window. isBegin is
	// true if it begins a transaction; its slot is held until the statement that
	// follows has ended.
	takesSlot, isBegin bool
	// latencyScale converts a latency to the reference target: the reference
	// target divided by the latency target of the query's route.
	latencyScale float64
}

// windowSlot is a connection's slot in the window of its instance. The slot
// belongs to the last command that took a slot.
type windowSlot struct {
	// isBegin is true if the command begins a transaction, transactionOpen if
	// that command has succeeded.
	taken, isBegin, transactionOpen bool
	takenAt                         time.Duration
	latencyScale                    float64
}

// connectionWindow is the state of a connection for the model of the window.
type connectionWindow struct {
	expectedAnswers []expectedAnswer
	slot            windowSlot
	lastResult      lineproto.Message
}

// codesWithoutWork are the codes of statements that an instance refused without
// running them. Their latency is no sample.
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

// windowModelFor returns the model of the node's window for an instance. It
// returns nil if the run checks no windows or the node has no such instance.
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

// modelSend updates the model for commands that are sent. The last command may
// take a slot; the others only prepare the session.
func (n *lineNode) modelSend(connection *lineConnection, commands []linepool.Command) {
	if !n.fleet.windows.enabled {
		return
	}
	window, last := &connection.window, commands[len(commands)-1]
	expected := n.expectedAnswerTo(last)
	window.expectedAnswers = append(window.expectedAnswers, make([]expectedAnswer, len(commands)-1)...)
	window.expectedAnswers = append(window.expectedAnswers, expected)
	model := n.windowModelFor(connection.instance.name)
	if !expected.takesSlot || model == nil {
		return
	}
	if !window.slot.taken {
		n.checkRoom(connection.instance.name, model)
		model.begin()
	}
	window.slot = windowSlot{taken: true, isBegin: expected.isBegin, takenAt: n.clock(), latencyScale: expected.latencyScale}
}

func (n *lineNode) expectedAnswerTo(command linepool.Command) expectedAnswer {
	begin := command.Kind == linepool.CommandBegin || command.Kind == linepool.CommandBeginReadOnly
	expected := expectedAnswer{isBegin: begin, takesSlot: begin || command.Kind == linepool.CommandText || command.Kind == linepool.CommandExecute}
	if sent := n.fleet.checker.queries[command.ID]; sent != nil {
		expected.latencyScale = referenceLatencyTarget.Seconds() / n.fleet.latencyTarget(sent.client.route).Seconds()
	}
	return expected
}

// checkRoom checks that the window has room for one more statement.
func (n *lineNode) checkRoom(instance string, model *windowModel) {
	limit := int(math.Max(1, math.Floor(model.window+roundingMargin)))
	if model.inFlight >= limit {
		n.fleet.checker.addViolation(RuleWindow, "%s has %d statements in flight at %s, with a window of %v", n.name, model.inFlight+1, instance, model.window)
	}
}

// modelAnswer updates the model for a message from an instance.
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
	if !expected.takesSlot || model == nil {
		return
	}
	result := window.lastResult
	if expected.isBegin && result.Kind == lineproto.KindDone && message.State == lineproto.StateInTransaction {
		window.slot.transactionOpen = true
		return
	}
	latency := n.clock() - window.slot.takenAt
	counted := !expected.isBegin && (result.Kind != lineproto.KindError || !codesWithoutWork[result.Code])
	window.slot = windowSlot{}
	model.inFlight--
	if counted {
		model.addSample(time.Duration(float64(latency) * expected.latencyScale))
	}
}

// modelClose updates the model for a connection that is closed. A statement in
// flight counts with its age, or with the threshold if its age is less. The model
// cannot tell whether the product counts a begin in flight. In that case, the
// model is uncertain, and adopts the product's window once instead of reporting a
// difference.
func (n *lineNode) modelClose(connection *lineConnection) {
	slot := connection.window.slot
	connection.window.slot = windowSlot{}
	model := n.windowModelFor(connection.instance.name)
	if !slot.taken || model == nil {
		return
	}
	model.inFlight--
	if slot.isBegin && !slot.transactionOpen {
		model.uncertain = true
		n.fleet.windows.uncertain++
	}
	if !slot.isBegin {
		age := time.Duration(float64(n.clock()-slot.takenAt) * slot.latencyScale)
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
		n.fleet.checker.addViolation(RuleWindow, "%s for %s: window %v and CAL %v, but the paper's equations give %v and %v", n.name, instance, reading.Size, reading.AverageLatency, model.window, time.Duration(model.averageLatency))
	}
	if differs {
		model.adopt(reading)
	}
	model.uncertain = model.uncertain && model.updates == updates
	n.fleet.windows.observe(model)
}
