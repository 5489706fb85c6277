package control

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/lineserver"
	"tansyseam/internal/transport/worker"
)

// ErrOrder says that an instance did not answer an order.
const ErrNoReply = errors.ConstError("order not answered")

// Orders gives instances the fleet's own orders, each over a connection of
// its own.
type CommandClient struct {
	engine     *lineserver.Server
	codec      lineproto.Codec
	clientName string
}

// NewOrders makes them; Start must be called before the first.
func NewCommandClient(crew *worker.Group, codec lineproto.Codec, who string) *CommandClient {
	return &CommandClient{engine: lineserver.NewServer(crew, "", lineproto.MaxLineBytes, nil), codec: codec, clientName: who}
}

// Start lets orders be given.
func (o *CommandClient) Start() error { return errors.Trace(o.engine.Start()) }

type exchange struct {
	codec    lineproto.Codec
	replies  chan CommandReply
	welcomed bool
	reply    CommandReply
	hasRow   bool
}

// Lines takes what the instance sent.
func (e *exchange) OnLines(lines [][]byte) {
	for _, line := range lines {
		message := e.codec.Parse(string(line))
		act, known := exchangeHandlers[message.Kind]
		if known {
			act(e, message)
		}
	}
}

// Ended tells that the connection is over.
func (e *exchange) OnClose(error) { e.finish(CommandReply{Err: ErrNoReply}) }

func (e *exchange) finish(reply CommandReply) { worker.TrySend(e.replies, reply) }

var exchangeHandlers = map[lineproto.Kind]func(*exchange, lineproto.Message){
	lineproto.KindRow: func(e *exchange, message lineproto.Message) {
		report, complete := e.codec.ParseStatus(message.Payload)
		e.hasRow = complete
		e.reply = CommandReply{Role: report.Role, Term: report.Term, Position: report.Position}
	},
	lineproto.KindError: func(e *exchange, message lineproto.Message) {
		e.reply = CommandReply{Busy: message.Code == lineproto.CodeBusy || message.Code == lineproto.CodeTooManyConnections, Gone: message.Code == lineproto.CodeWrongInstance}
		if !e.reply.Busy && !e.reply.Gone {
			e.reply.Err = errors.Annotatef(ErrNoReply, "%s", message.Payload)
		}
		e.hasRow = true
		if !e.welcomed {
			e.finish(e.reply)
		}
	},
	lineproto.KindReady: func(e *exchange, _ lineproto.Message) {
		if !e.welcomed {
			e.welcomed = true
			return
		}
		if !e.hasRow {
			e.reply = CommandReply{Err: ErrNoReply}
		}
		e.finish(e.reply)
	},
}

// Give gives one order and waits for the answer, for a bound.
func (o *CommandClient) Send(address, database, instance, order string, term uint64, timeout time.Duration) CommandReply {
	stateTable := &exchange{codec: o.codec, replies: make(chan CommandReply, 1)}
	first := o.codec.Connect(nil, database, o.clientName, instance)
	first = o.codec.Query(first, "", o.codec.AdminCommand(order, term), model.Position{})
	up := make(chan *lineserver.Conn, 1)
	o.engine.Dial(address, first, timeout, stateTable, func(conn *lineserver.Conn) { up <- conn })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	reply, ok := worker.Receive(stateTable.replies, timer.C)
	if !ok {
		reply = CommandReply{Err: ErrNoReply}
	}
	if conn, open := worker.TryReceive(up); open {
		conn.Write(o.codec.Terminate(nil))
		conn.Close()
	}
	return reply
}

// ErrUnsent says that a call did not leave this machine.
const ErrNotSent = errors.ConstError("call not sent")

// Promoter makes the platform's one call, in the words that write gives. Its
// client is made with the first call and kept: an engine that is stopped just
// after its start may never end.
func NewPromoter(node *node.Node, write func(adapter.Promotion) adapter.Request) func(config.Config, string, string, string, uint64) (int, error) {
	var mutex sync.Mutex
	var client *httpserver.Client
	kept := func(local string) (*httpserver.Client, error) {
		mutex.Lock()
		defer mutex.Unlock()
		if client != nil {
			return client, nil
		}
		made, err := httpserver.NewClient(local, node.Workers)
		if err == nil {
			client = made
		}
		return made, err
	}
	return func(cfg config.Config, database, instance, holder string, fence uint64) (int, error) {
		made, err := kept(hostOf(cfg.RPCAddress))
		if err != nil {
			return 0, errors.WithType(errors.Trace(err), ErrNotSent)
		}
		session, err := made.Dial(cfg.PlatformAddress, time.Second, nil)
		if err != nil {
			return 0, errors.WithType(errors.Trace(err), ErrNotSent)
		}
		answer := session.Send(write(adapter.Promotion{Database: database, Instance: instance, LeaseHolder: holder, FencingToken: fence}), 2*time.Second)
		session.Close()
		return answer.Status, errors.Trace(answer.Err)
	}
}
