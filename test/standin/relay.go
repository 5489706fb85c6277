package standin

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Relay passes TCP on to one target, and can cut it off from some sources in
// one direction or both.
type Relay struct {
	listener net.Listener
	target   string

	mutex       sync.Mutex
	blockedTo   map[string]bool
	blockedFrom map[string]bool
	connections map[net.Conn]string
	delay       time.Duration
	dropRate    float64
}

// OpenRelay listens at an address and passes on to the target.
func OpenRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, blockedTo: map[string]bool{}, blockedFrom: map[string]bool{}, connections: map[net.Conn]string{}}
	go r.accept()
	return r, nil
}

// Block bars what a source IP sends to the target, and what the target sends
// back, as asked. Bytes on a barred way wait or are lost with the session.
func (r *Relay) Block(source string, blockTo, blockFrom bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.blockedTo[source], r.blockedFrom[source] = blockTo, blockFrom
}

// SetFaults delays each piece and, for a part of them, resets the session.
func (r *Relay) SetFaults(delay time.Duration, drop float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.delay, r.dropRate = delay, drop
}

// Reset ends all sessions now.
func (r *Relay) Reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for conn := range r.connections {
		_ = conn.Close()
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Reset()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *Relay) serve(near net.Conn) {
	source, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	far, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	r.mutex.Lock()
	r.connections[near], r.connections[far] = source, source
	r.mutex.Unlock()
	var group sync.WaitGroup
	group.Add(2)
	go func() { defer group.Done(); r.copy(far, near, source, r.blockedTo) }()
	go func() { defer group.Done(); r.copy(near, far, source, r.blockedFrom) }()
	group.Wait()
	r.mutex.Lock()
	delete(r.connections, near)
	delete(r.connections, far)
	r.mutex.Unlock()
}

func (r *Relay) copy(to, from net.Conn, source string, blocked map[string]bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		for {
			r.mutex.Lock()
			blocked, delay, drop := blocked[source] || blocked["*"], r.delay, r.dropRate
			_, open := r.connections[to]
			r.mutex.Unlock()
			if !open {
				return
			}
			if drop > 0 && rand.Float64() < drop {
				return
			}
			if delay > 0 {
				time.Sleep(delay)
			}
			if !blocked {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if _, err := to.Write(buffer[:count]); err != nil && err != io.EOF {
			return
		}
	}
}
