package lineproxy

import (
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/transport/lineserver"
)

const (
	tooManySessions = "this node has as many sessions as it takes; come back in 1000 ms"
	notAMessage     = "not a message"
)

// clientConn is the connection of one client.
type clientConn struct {
	proxy *Proxy
	conn  *lineserver.Conn
	// client is nil if the node has rejected the session.
	client *linepool.Client
}

func (p *Proxy) acceptClient(conn *lineserver.Conn) lineserver.Handler {
	c := &clientConn{proxy: p, conn: conn}
	p.apply(func(now time.Duration) { c.client = p.pool.Accept(c, now) })
	if c.client == nil {
		conn.Write(p.codec.Error(nil, lineproto.CodeBusy, tooManySessions))
		conn.CloseGracefully()
	}
	return c
}

// OnLines passes the client's messages to the pool.
func (c *clientConn) OnLines(lines [][]byte) {
	if c.client == nil {
		return
	}
	messages := c.proxy.parse(lines)
	c.proxy.apply(func(now time.Duration) {
		for _, message := range messages {
			c.handle(message, now)
		}
		c.proxy.pool.EndInput(c.client, now)
	})
}

// OnClose notifies the pool that the client's connection has closed.
func (c *clientConn) OnClose(err error) {
	if c.client == nil {
		return
	}
	if errors.Is(err, lineserver.ErrLineTooLong) {
		c.proxy.node.Counters.Add("clients_too_long", 1)
	}
	c.proxy.apply(func(now time.Duration) { c.proxy.pool.ClientLost(c.client, now) })
}

var clientMessageHandlers = map[lineproto.Kind]func(*clientConn, lineproto.Message, time.Duration){
	lineproto.KindConnect:   (*clientConn).onConnect,
	lineproto.KindQuery:     (*clientConn).onQuery,
	lineproto.KindTerminate: (*clientConn).onTerminate,
}

func (c *clientConn) handle(message lineproto.Message, now time.Duration) {
	handler, found := clientMessageHandlers[message.Kind]
	if !found {
		c.proxy.pool.ProtocolError(c.client, lineproto.CodeMalformed, notAMessage, now)
		return
	}
	handler(c, message, now)
}

func (c *clientConn) onConnect(message lineproto.Message, now time.Duration) {
	c.proxy.pool.Connect(c.client, message.Database, now)
}

func (c *clientConn) onQuery(message lineproto.Message, now time.Duration) {
	statement := c.proxy.codec.ParseStatement(message.Text)
	c.proxy.pool.Query(c.client, linepool.Query{ID: message.ID, Text: message.Text, Statement: statement}, now)
}

func (c *clientConn) onTerminate(_ lineproto.Message, now time.Duration) {
	c.proxy.pool.Terminate(c.client, now)
}

// instanceConn is one connection to a database instance.
type instanceConn struct {
	proxy *Proxy
	conn  *linepool.Conn
}

// OnLines passes the instance's messages to the pool.
func (i *instanceConn) OnLines(lines [][]byte) {
	messages := i.proxy.parse(lines)
	i.proxy.apply(func(now time.Duration) {
		for _, message := range messages {
			i.proxy.pool.Received(i.conn, message, now)
		}
	})
}

// OnClose notifies the pool that the connection to the instance has closed.
func (i *instanceConn) OnClose(error) {
	i.proxy.apply(func(now time.Duration) { i.proxy.pool.ConnLost(i.conn, now) })
}

func (p *Proxy) parse(lines [][]byte) []lineproto.Message {
	messages := make([]lineproto.Message, len(lines))
	for index, line := range lines {
		messages[index] = p.codec.Parse(string(line))
	}
	return messages
}
