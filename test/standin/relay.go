package standin

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Relay forwards TCP connections to one target. It can block what some sources
// send, what they are sent, or both; delay pieces; and reset connections.
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

// OpenRelay listens at an address and forwards to the target.
func OpenRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, blockedTo: map[string]bool{}, blockedFrom: map[string]bool{}, connections: map[net.Conn]string{}}
	go r.accept()
	return r, nil
}

// Block sets whether what a source IP sends to the target, and what the target
// sends back, is blocked. The source "*" stands for all. Blocked bytes wait, or
// are lost with their connection.
func (r *Relay) Block(source string, blockTo, blockFrom bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.blockedTo[source], r.blockedFrom[source] = blockTo, blockFrom
}

// SetFaults delays each piece that is read, and resets the connection for a
// part of them: dropRate is from 0 to 1.
func (r *Relay) SetFaults(delay time.Duration, dropRate float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.delay, r.dropRate = delay, dropRate
}

// Reset closes all connections.
func (r *Relay) Reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for conn := range r.connections {
		_ = conn.Close()
	}
}

// Close stops listening and closes all connections.
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

const (
	pieceSize     = 32 << 10
	blockInterval = 10 * time.Millisecond
)

// copy forwards pieces until either side ends.
func (r *Relay) copy(to, from net.Conn, source string, blocked map[string]bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, pieceSize)
	for {
		count, err := from.Read(buffer)
		if err != nil || !r.awaitUnblocked(to, source, blocked) {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil && err != io.EOF {
			return
		}
	}
}

// awaitUnblocked applies the faults to one piece; false where the connection
// is to end.
func (r *Relay) awaitUnblocked(to net.Conn, source string, blockedSources map[string]bool) bool {
	for {
		r.mutex.Lock()
		blocked, delay, dropRate := blockedSources[source] || blockedSources["*"], r.delay, r.dropRate
		_, open := r.connections[to]
		r.mutex.Unlock()
		if !open {
			return false
		}
		if dropRate > 0 && rand.Float64() < dropRate {
			return false
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if !blocked {
			return true
		}
		time.Sleep(blockInterval)
	}
}
