package httpproxy

import (
	"time"

	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/httpserver"
)

const (
	// statusWaitMS is how long an instance may delay the answer to a status
	// request while its position does not change. statusTimeout bounds the whole
	// request.
	statusWaitMS      = 80
	statusTimeout     = time.Second
	statusDialTimeout = 500 * time.Millisecond
	statusRetryDelay  = 20 * time.Millisecond
	statusRedialDelay = 40 * time.Millisecond
)

// instanceWatcher polls an instance's position over a separate connection, which
// is not a session at the instance and does not use a slot of the admission
// window.
type instanceWatcher struct {
	proxy    *Proxy
	instance string
	conn     *httpserver.ClientConn
}

// watchInstance polls an instance until the pool ends the watch.
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

// connect dials the instance unless a connection to its address is open. It reports
// whether there is a connection.
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

// poll requests the instance's status once. It reports whether the request
// succeeded.
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
