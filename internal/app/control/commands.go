package control

import (
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/lineserver"
	"tansyseam/internal/transport/worker"
)

// ErrNoReply is returned when an instance did not reply to a command.
const ErrNoReply = errors.ConstError("no reply to the command")

// CommandClient sends admin commands to instances over a line protocol. It opens
// a separate connection for each command.
type CommandClient struct {
	engine     *lineserver.Server
	codec      lineproto.Codec
	clientName string
}

// NewCommandClient returns a client that identifies itself to instances as
// clientName. Start must be called before the first command.
func NewCommandClient(workers *worker.Group, codec lineproto.Codec, clientName string) *CommandClient {
	return &CommandClient{engine: lineserver.NewServer(workers, "", lineproto.MaxLineBytes, nil), codec: codec, clientName: clientName}
}

// Start starts the event loop of the connections.
func (c *CommandClient) Start() error { return errors.Trace(c.engine.Start()) }

// Send sends a command and waits for the reply. The reply's Err is ErrNoReply if
// none arrives within the timeout.
func (c *CommandClient) Send(command Command) CommandReply {
	pending := &exchange{codec: c.codec, replies: make(chan CommandReply, 1)}
	opened := make(chan *lineserver.Conn, 1)
	c.engine.Dial(command.Address, c.request(command), command.Timeout, pending, func(conn *lineserver.Conn) { opened <- conn })
	timer := time.NewTimer(command.Timeout)
	defer timer.Stop()
	reply, ok := worker.Receive(pending.replies, timer.C)
	if !ok {
		reply = CommandReply{Err: ErrNoReply}
	}
	if conn, ok := worker.TryReceive(opened); ok {
		conn.Write(c.codec.Terminate(nil))
		conn.Close()
	}
	return reply
}

// request returns the bytes to send: the connect message, followed by the command.
func (c *CommandClient) request(command Command) []byte {
	data := c.codec.Connect(nil, command.Database, c.clientName, command.Instance)
	return c.codec.Query(data, "", c.codec.AdminCommand(command.Name, command.Term), model.Position{})
}

// exchange parses an instance's reply: ready in response to the connect message,
// then a row or an error in response to the command, then ready again.
type exchange struct {
	codec lineproto.Codec
	// replies receives the first reply.
	replies chan CommandReply
	// connected is true once the instance has accepted the session. Later messages
	// are responses to the command.
	connected bool
	// answered is true if a row, a done or an error message has arrived. hasResult is
	// true if reply was set from a status or an error.
	answered  bool
	hasResult bool
	reply     CommandReply
}

// OnLines handles the lines that the instance sent.
func (e *exchange) OnLines(lines [][]byte) {
	for _, line := range lines {
		message := e.codec.Parse(string(line))
		if handle, found := exchangeHandlers[message.Kind]; found {
			handle(e, message)
		}
	}
}

// OnClose handles the end of the connection.
func (e *exchange) OnClose(error) { e.finish(CommandReply{Err: ErrNoReply}) }

// finish delivers the reply, unless one was delivered before.
func (e *exchange) finish(reply CommandReply) { worker.TrySend(e.replies, reply) }

var exchangeHandlers = map[lineproto.Kind]func(*exchange, lineproto.Message){
	lineproto.KindRow:   (*exchange).onRow,
	lineproto.KindDone:  func(e *exchange, _ lineproto.Message) { e.answered = true },
	lineproto.KindError: (*exchange).onError,
	lineproto.KindReady: (*exchange).onReady,
}

func (e *exchange) onRow(message lineproto.Message) {
	status, complete := e.codec.ParseStatus(message.Payload)
	e.answered = true
	e.hasResult = complete
	e.reply = CommandReply{Role: status.Role, Term: status.Term, Position: status.Position}
}

func (e *exchange) onError(message lineproto.Message) {
	e.reply = CommandReply{
		Busy: message.Code == lineproto.CodeBusy || message.Code == lineproto.CodeTooManyConnections,
		Gone: message.Code == lineproto.CodeWrongInstance,
	}
	if !e.reply.Busy && !e.reply.Gone {
		e.reply.Err = errors.Annotatef(ErrNoReply, "%s", message.Payload)
	}
	e.answered, e.hasResult = true, true
	if !e.connected {
		// An instance that refuses the session does not send ready.
		e.finish(e.reply)
	}
}

// onReady handles the response to the connect message, which an instance may send again
// before it answers the command, and the end of the answer to the command.
func (e *exchange) onReady(lineproto.Message) {
	if !e.connected || !e.answered {
		e.connected = true
		return
	}
	if !e.hasResult {
		e.reply = CommandReply{Err: ErrNoReply}
	}
	e.finish(e.reply)
}
