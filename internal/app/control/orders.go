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
const ErrOrder = errors.ConstError("order not answered")

// Orders gives instances the fleet's own orders, each over a connection of
// its own.
type Orders struct {
	engine *lineserver.Engine
	codec  lineproto.Codec
	who    string
}

// NewOrders makes them; Start must be called before the first.
func NewOrders(crew *worker.Crew, codec lineproto.Codec, who string) *Orders {
	return &Orders{engine: lineserver.New(crew, "", lineproto.Longest, nil), codec: codec, who: who}
}

// Start lets orders be given.
func (o *Orders) Start() error { return errors.Trace(o.engine.Start()) }

type errand struct {
	codec     lineproto.Codec
	replies   chan Reply
	isWelcome bool
	reply     Reply
	hasRow    bool
}

// Lines takes what the instance sent.
func (e *errand) Lines(lines [][]byte) {
	for _, line := range lines {
		message := e.codec.Parse(string(line))
		act, isKnown := errands[message.Kind]
		if isKnown {
			act(e, message)
		}
	}
}

// Ended tells that the connection is over.
func (e *errand) Ended(error) { e.end(Reply{Err: ErrOrder}) }

func (e *errand) end(reply Reply) { worker.Offer(e.replies, reply) }

var errands = map[lineproto.Kind]func(*errand, lineproto.Message){
	lineproto.KindRow: func(e *errand, message lineproto.Message) {
		told, isWhole := e.codec.Status(message.Tail)
		e.hasRow = isWhole
		e.reply = Reply{Role: told.Role, Term: told.Term, Position: told.Position}
	},
	lineproto.KindError: func(e *errand, message lineproto.Message) {
		e.reply = Reply{IsBusy: message.Code == lineproto.CodeBusy || message.Code == lineproto.CodeFull, IsGone: message.Code == lineproto.CodeWrongHost}
		if !e.reply.IsBusy && !e.reply.IsGone {
			e.reply.Err = errors.Annotatef(ErrOrder, "%s", message.Tail)
		}
		e.hasRow = true
		if !e.isWelcome {
			e.end(e.reply)
		}
	},
	lineproto.KindReady: func(e *errand, _ lineproto.Message) {
		if !e.isWelcome {
			e.isWelcome = true
			return
		}
		if !e.hasRow {
			e.reply = Reply{Err: ErrOrder}
		}
		e.end(e.reply)
	},
}

// Give gives one order and waits for the answer, for a bound.
func (o *Orders) Give(address, database, instance, order string, term uint64, bound time.Duration) Reply {
	held := &errand{codec: o.codec, replies: make(chan Reply, 1)}
	first := o.codec.Connect(nil, database, o.who, instance)
	first = o.codec.Query(first, "", o.codec.Order(order, term), model.Position{})
	up := make(chan *lineserver.Conn, 1)
	o.engine.Open(address, first, bound, held, func(conn *lineserver.Conn) { up <- conn })
	timer := time.NewTimer(bound)
	defer timer.Stop()
	reply, isAnswered := worker.Take(held.replies, timer.C)
	if !isAnswered {
		reply = Reply{Err: ErrOrder}
	}
	if conn, isUp := worker.Poll(up); isUp {
		conn.Write(o.codec.Bye(nil))
		conn.Close()
	}
	return reply
}

// ErrUnsent says that a call did not leave this machine.
const ErrUnsent = errors.ConstError("call not sent")

// Promoter makes the platform's one call, in the words that write gives. Its
// client is made with the first call and kept: an engine that is stopped just
// after its start may never end.
func Promoter(node *node.Node, write func(adapter.Promotion) adapter.Request) func(config.Settings, string, string, string, uint64) (int, error) {
	var mutex sync.Mutex
	var client *httpserver.Client
	kept := func(local string) (*httpserver.Client, error) {
		mutex.Lock()
		defer mutex.Unlock()
		if client != nil {
			return client, nil
		}
		made, err := httpserver.NewClient(local, node.Crew)
		if err == nil {
			client = made
		}
		return made, err
	}
	return func(place config.Settings, database, instance, holder string, fence uint64) (int, error) {
		made, err := kept(hostOf(place.Link))
		if err != nil {
			return 0, errors.WithType(errors.Trace(err), ErrUnsent)
		}
		session, err := made.Dial(place.Platform, time.Second, nil)
		if err != nil {
			return 0, errors.WithType(errors.Trace(err), ErrUnsent)
		}
		answer := session.AskAs(write(adapter.Promotion{Database: database, Instance: instance, Holder: holder, Fence: fence}), 2*time.Second)
		session.Close()
		return answer.Status, errors.Trace(answer.Err)
	}
}
