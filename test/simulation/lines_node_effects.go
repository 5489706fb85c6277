package simulation

import (
	"reflect"
	"slices"

	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/test/linehistory"
)

// Probabilities of the defects that occur at random.
const (
	swapProbability  = 0.05
	alterProbability = 0.05
)

// noPayload is the payload of a success without a stamp.
const noPayload = "-"

// lineEffectHandlers has the handler of each type of effect.
var lineEffectHandlers = map[reflect.Type]func(*lineNode, linepool.Effect){}

func handleLineEffect[T linepool.Effect](handle func(*lineNode, T)) {
	lineEffectHandlers[reflect.TypeFor[T]()] = func(n *lineNode, effect linepool.Effect) { handle(n, effect.(T)) }
}

func init() {
	handleLineEffect((*lineNode).sendToClient)
	handleLineEffect((*lineNode).closeClient)
	handleLineEffect((*lineNode).openConnection)
	handleLineEffect((*lineNode).sendToInstance)
	handleLineEffect((*lineNode).closeConnection)
	handleLineEffect(func(n *lineNode, _ linepool.Report) {
		if !n.reportPending {
			n.reportPending = true
			n.after(lineReportDelay, n.sendReport)
		}
	})
	handleLineEffect((*lineNode).onWriterChanged)
	handleLineEffect(func(n *lineNode, activated linepool.BindingsActivated) {
		n.simulator.record("%s serves under version %d", n.name, activated.Set.Version)
	})
}

func (n *lineNode) sendToClient(respond linepool.Respond) {
	client := n.clients[respond.Client]
	if client == nil {
		return
	}
	messages := slices.Clone(respond.Messages)
	for index, message := range messages {
		n.countAnswer(respond.Client, message, index == len(messages)-1)
		n.applyAnswerDefects(&messages[index])
	}
	client.deliverMessages(n, respond.Client, messages)
}

// countAnswer updates the number of unanswered queries of a session after a
// message to its client. An error that is the last message ends the session. A
// node that stops sends it only to sessions that wait for nothing.
func (n *lineNode) countAnswer(session *linepool.Client, message lineproto.Message, last bool) {
	if message.Kind == lineproto.KindReady && n.openQueries[session] > 0 {
		n.openQueries[session]--
	}
	if message.Kind == lineproto.KindError && last && !n.stopping {
		n.openQueries[session] = 0
	}
}

// applyAnswerDefects applies the planted defects that change answers.
func (n *lineNode) applyAnswerDefects(message *lineproto.Message) {
	l := n.fleet
	if l.defects.UnknownReportedAsBusy && message.Kind == lineproto.KindError && message.Code == lineproto.CodeUnknownOutcome {
		message.Code = lineproto.CodeBusy
	}
	if l.defects.SwappedAnswers && message.Kind == lineproto.KindDone && message.Payload != noPayload {
		stamp := message.Payload
		if l.lastStamp != "" && l.simulator.chance(swapProbability) {
			message.Payload = l.lastStamp
		}
		l.lastStamp = stamp
	}
}

func (n *lineNode) closeClient(closed linepool.CloseClient) {
	client := n.clients[closed.Client]
	if n.openQueries[closed.Client] > 0 && n.stopping {
		n.fleet.checker.addViolation(linehistory.RuleLostCommits, "%s ends a session with an unanswered query during a planned stop", n.name)
	}
	delete(n.clients, closed.Client)
	delete(n.openQueries, closed.Client)
	if client != nil {
		client.onSessionClosed(n, closed.Client)
	}
}

func (n *lineNode) openConnection(open linepool.OpenConn) {
	target := n.fleet.instancesByAddress[open.Address]
	opened := &lineConnection{
		node: n, nodeIncarnation: n.incarnation, instance: target, instanceIncarnation: target.incarnation, poolConnection: open.Conn,
	}
	open.Conn.Transport = opened
	n.connections = append(n.connections, opened)
	opened.sendToInstance(func() { opened.accept(open.Instance) })
}

func (n *lineNode) closeConnection(closed linepool.CloseConn) {
	connection, open := closed.Conn.Transport.(*lineConnection)
	if !open {
		return
	}
	n.modelClose(connection)
	if !connection.closed {
		n.dropConnection(connection)
		connection.sendToInstance(connection.closeSession)
	}
}

// dropConnection closes the node's end of a connection.
func (n *lineNode) dropConnection(connection *lineConnection) {
	connection.closed = true
	n.connections = slices.DeleteFunc(n.connections, func(other *lineConnection) bool { return other == connection })
}

func (n *lineNode) sendToInstance(send linepool.Send) {
	connection := send.Conn.Transport.(*lineConnection)
	commands := slices.Clone(send.Commands)
	n.modelSend(connection, commands)
	for index := range commands {
		if sent := n.fleet.checker.queries[commands[index].ID]; sent != nil && sent.version == 0 {
			sent.version = n.pool.EffectiveSet(n.clock()).Version
		}
		n.applyCommandDefects(&commands[index])
	}
	last := commands[len(commands)-1]
	single := connection.session != nil && connection.session.transaction == nil && isWriteText(last.Text)
	if n.fleet.defects.DuplicatedWrites && single {
		commands = append(commands, last)
	}
	connection.sendToInstance(func() {
		if connection.session != nil && !connection.session.closed {
			connection.session.receive(commands)
		}
	})
}

// applyCommandDefects applies the planted defects that change commands.
func (n *lineNode) applyCommandDefects(command *linepool.Command) {
	defects := n.fleet.defects
	if defects.DroppedMinPositions {
		command.MinPosition = model.Position{}
	}
	if defects.AlteredTexts && command.Kind == linepool.CommandText && isReadText(command.Text) && n.simulator.chance(alterProbability) {
		command.Text += "x"
	}
}

// onWriterChanged may inject a further fault while a writer role moves.
func (n *lineNode) onWriterChanged(changed linepool.WriterChanged) {
	current := changed.Change.Current
	n.simulator.record("%s applies the writer role of %s: term %d %s at %s", n.name, changed.Change.Database, current.Term, current.Phase, current.Primary)
	if current.Phase != model.PhaseOpen {
		n.fleet.maybeInjectFollowUp()
	}
}
