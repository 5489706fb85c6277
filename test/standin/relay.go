package standin

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Relay forwards TCP connections to one target. For chosen sources, it can block
// the data to the target, the data from the target, or both. It can also delay
// data and close connections.
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

// OpenRelay returns a relay that listens at an address and forwards to the
// target.
func OpenRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, blockedTo: map[string]bool{}, blockedFrom: map[string]bool{}, connections: map[net.Conn]string{}}
	go r.accept()
	return r, nil
}

// Block sets whether data from a source IP to the target is blocked, and whether
// data from the target to the source IP is blocked. The source "*" means all
// sources. Blocked data is forwarded once it is no longer blocked, or is lost if
// its connection is closed before.
func (r *Relay) Block(source string, blockTo, blockFrom bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.blockedTo[source], r.blockedFrom[source] = blockTo, blockFrom
}

// SetFaults sets the delay of each chunk of data and the probability, from 0 to
// 1, that the connection is closed instead of forwarding a chunk.
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

func (r *Relay) serve(client net.Conn) {
	source, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	server, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	r.mutex.Lock()
	r.connections[client], r.connections[server] = source, source
	r.mutex.Unlock()
	var group sync.WaitGroup
	group.Add(2)
	go func() { defer group.Done(); r.copy(server, client, source, r.blockedTo) }()
	go func() { defer group.Done(); r.copy(client, server, source, r.blockedFrom) }()
	group.Wait()
	r.mutex.Lock()
	delete(r.connections, client)
	delete(r.connections, server)
	r.mutex.Unlock()
}

const (
	chunkSize     = 32 << 10
	blockInterval = 10 * time.Millisecond
)

// copy forwards chunks until either connection ends.
func (r *Relay) copy(to, from net.Conn, source string, blocked map[string]bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, chunkSize)
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

// awaitUnblocked applies the relay's faults to one chunk and waits until its source
// is not blocked. While the source is blocked, the faults are applied again at each
// check. It returns false if the connection must be closed.
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
