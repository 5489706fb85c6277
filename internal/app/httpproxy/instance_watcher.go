package httpproxy

import (
	"time"

	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/httpserver"
)

const (
	// statusWaitMS is how long an instance may hold back the answer to a status
	// request while its position does not move; statusTimeout bounds the whole.
	statusWaitMS      = 80
	statusTimeout     = time.Second
	statusDialTimeout = 500 * time.Millisecond
	statusRetryDelay  = 20 * time.Millisecond
	statusRedialDelay = 40 * time.Millisecond
)

// instanceWatcher follows an instance's position over a connection of its own,
// which is no session there and takes no slot of the window.
type instanceWatcher struct {
	proxy    *Proxy
	instance string
	conn     *httpserver.ClientConn
}

// watchInstance follows an instance for as long as the pool wants it.
func (p *Proxy) watchInstance(name string) {
	watcher := &instanceWatcher{proxy: p, instance: name}
	for !p.node.Workers.IsStopping() {
		p.mutex.Lock()
		address, after, active := p.pool.WatchTarget(name, p.now())
		p.mutex.Unlock()
		if !active {
			return
		}
		if !watcher.connect(address) {
			time.Sleep(statusRedialDelay)
			continue
		}
		if !watcher.poll(after) {
			time.Sleep(statusRetryDelay)
		}
	}
}

// connect dials the instance unless there is a connection to its address.
func (w *instanceWatcher) connect(address string) bool {
	if w.conn != nil && !w.conn.IsClosed() && w.conn.Address() == address {
		return true
	}
	conn, err := w.proxy.client.Dial(address, statusDialTimeout, nil)
	if err != nil {
		return false
	}
	w.conn = conn
	return true
}

// poll asks the instance once for its status.
func (w *instanceWatcher) poll(after model.Position) bool {
	p := w.proxy
	sent := p.now()
	path, body := p.codec.EncodeStatusRequest(after, statusWaitMS)
	response := w.conn.Post(path, body, statusTimeout)
	if response.Err != nil {
		w.conn.Close()
		w.conn = nil
		return false
	}
	reply, err := p.codec.Decode(response.Status, response.Body)
	if err != nil || reply.Failed {
		return false
	}
	p.apply(func(now time.Duration) { p.pool.InstanceStatusReceived(w.instance, reply, sent, now) })
	return true
}
