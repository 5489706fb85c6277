package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay passes TCP connections on to one address. It resets the connections that come
// from the addresses that are cut off, those that are open and new ones.
type Relay struct {
	listener net.Listener
	target   string

	mutex  sync.Mutex
	cut    map[string]bool
	open   map[*relayed]bool
	resets map[string]int
}

// relayed is one connection through the relay.
type relayed struct {
	from           string
	inbound, other *net.TCPConn
}

func (r *relayed) reset() {
	for _, conn := range []*net.TCPConn{r.inbound, r.other} {
		if conn != nil {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
}

// NewRelay starts a relay.
func NewRelay(address, target string) (*Relay, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, cut: map[string]bool{}, open: map[*relayed]bool{}, resets: map[string]int{}}
	go r.accept()
	return r, nil
}

// Cut cuts off connections from an IP address, or joins them again.
func (r *Relay) Cut(ip string, cut bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cut[ip] = cut
	for conn := range r.open {
		if cut && conn.from == ip {
			r.resets[ip]++
			conn.reset()
		}
	}
}

// ResetsFrom returns how many connections from an IP address were reset.
func (r *Relay) ResetsFrom(ip string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.resets[ip]
}

// OpenFrom returns how many connections from an IP address are open.
func (r *Relay) OpenFrom(ip string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for conn := range r.open {
		if conn.from == ip {
			count++
		}
	}
	return count
}

// Stop ends the relay.
func (r *Relay) Stop() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for conn := range r.open {
		conn.reset()
	}
}

func (r *Relay) accept() {
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		from, _, _ := net.SplitHostPort(accepted.RemoteAddr().String())
		conn := &relayed{from: from, inbound: accepted.(*net.TCPConn)}
		r.mutex.Lock()
		isCut := r.cut[from]
		if isCut {
			r.resets[from]++
		}
		r.mutex.Unlock()
		if isCut {
			conn.reset()
			continue
		}
		go r.pass(conn)
	}
}

func (r *Relay) pass(conn *relayed) {
	local, _, _ := net.SplitHostPort(conn.inbound.RemoteAddr().String())
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(local)}}
	other, err := dialer.Dial("tcp", r.target)
	if err != nil {
		conn.reset()
		return
	}
	conn.other = other.(*net.TCPConn)
	r.mutex.Lock()
	if r.cut[conn.from] {
		conn.reset()
	}
	r.open[conn] = true
	r.mutex.Unlock()
	ended := make(chan struct{}, 2)
	for _, way := range [][2]*net.TCPConn{{conn.inbound, conn.other}, {conn.other, conn.inbound}} {
		go func() {
			_, _ = io.Copy(way[1], way[0])
			ended <- struct{}{}
		}()
	}
	<-ended
	_ = conn.inbound.Close()
	_ = conn.other.Close()
	<-ended
	r.mutex.Lock()
	delete(r.open, conn)
	r.mutex.Unlock()
}
