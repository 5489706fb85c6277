package httpproxy

import (
	"time"

	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/worker"
)

const (
	dialTimeout = 600 * time.Millisecond
	openTimeout = time.Second

	// statusWaitMS is how long an instance may hold back the answer to a status
	// request while its position does not move; statusTimeout bounds the whole.
	statusWaitMS      = 80
	statusTimeout     = time.Second
	statusDialTimeout = 500 * time.Millisecond
	statusRetryDelay  = 20 * time.Millisecond
	statusRedialDelay = 40 * time.Millisecond
)

type instanceReply struct {
	request  *httppool.Request
	response httpserver.Response
}

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

// watchInstance follows an instance's position, over a connection of its own
// that is no statement's, for as long as the pool wants it.
func (p *Proxy) watchInstance(name string) {
	var conn *httpserver.ClientConn
	for !p.node.Workers.IsStopping() {
		p.mutex.Lock()
		address, after, active := p.pool.WatchTarget(name, p.now())
		p.mutex.Unlock()
		if !active {
			return
		}
		if conn == nil || conn.IsClosed() || conn.Address() != address {
			dialed, err := p.client.Dial(address, statusDialTimeout, nil)
			if err != nil {
				sleep(statusRedialDelay)
				continue
			}
			conn = dialed
		}
		sent := p.now()
		path, body := p.codec.EncodeStatusRequest(after, statusWaitMS)
		response := conn.Post(path, body, statusTimeout)
		if response.Err != nil {
			conn.Close()
			conn = nil
			sleep(statusRetryDelay)
			continue
		}
		reply, err := p.codec.Decode(response.Status, response.Body)
		if err != nil || reply.Failed {
			sleep(statusRetryDelay)
			continue
		}
		p.apply(func(now time.Duration) { p.pool.InstanceStatusReceived(name, reply, sent, now) })
	}
}

func sleep(duration time.Duration) { worker.Await(make(chan struct{}), duration) }
