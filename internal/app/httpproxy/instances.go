package httpproxy

import (
	"time"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/transport/httpserver"
)

const (
	dialTimeout = 600 * time.Millisecond
	openTimeout = time.Second
)

// instanceReply is an instance's answer to a request, as queued for the reply
// stage.
type instanceReply struct {
	request  *httppool.Request
	response httpserver.Response
}

// send sends an operation to an instance. The answer is queued for the reply stage.
// If that queue is full, the event loop that read the answer handles it, so that no
// answer is lost.
func (p *Proxy) send(effect httppool.Send) {
	path, body := p.codec.Encode(effect.Op)
	effect.Conn.Transport.(*httpserver.ClientConn).PostAsync(path, body, func(response httpserver.Response) {
		received := &instanceReply{request: effect.Request, response: response}
		if !p.replyStage.TrySubmit(received) {
			p.handleReply(received)
		}
	})
}

func (p *Proxy) handleReply(received *instanceReply) {
	reply, err := p.decode(received.response)
	p.apply(func(now time.Duration) { p.pool.ReplyReceived(received.request, reply, err != nil, now) })
}

func (p *Proxy) decode(response httpserver.Response) (httppool.Reply, error) {
	if response.Err != nil {
		return httppool.Reply{}, response.Err
	}
	return p.codec.Decode(response.Status, response.Body)
}

// connect opens a connection to an instance and a session on the connection.
func (p *Proxy) connect(effect httppool.OpenConn) {
	conn, err := p.client.Dial(effect.Address, dialTimeout, func() {
		p.apply(func(now time.Duration) { p.pool.ConnLost(effect.Conn, now) })
	})
	var reply httppool.Reply
	if err == nil {
		path, body := p.codec.Encode(httppool.Op{Kind: httppool.OpOpen})
		reply, err = p.decode(conn.Post(path, body, openTimeout))
	}
	p.apply(func(now time.Duration) {
		if conn != nil {
			effect.Conn.Transport = conn
		}
		p.pool.ConnOpened(effect.Conn, reply, err == nil, now)
	})
}
