package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

// InstanceConfig is the file that configures one instance.
type InstanceConfig struct {
	Name     string `json:"name"`
	Database string `json:"database"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Role     string `json:"role"`
	Upstream string `json:"upstream"`
	// AnnounceAddresses are HTTP addresses of nodes that take announcements;
	// their answers name further ones.
	AnnounceAddresses []string `json:"doors"`
	// Directory holds the instance's files.
	Directory string `json:"folder"`
	// Connections caps open database sessions, Slots running statements.
	Connections int `json:"connections"`
	Slots       int `json:"slots"`
	// ServiceTimeUS is the mean time of an unloaded write, in microseconds.
	ServiceTimeUS int `json:"service_us"`
	// ReplicationDelayMS delays what the instance pulls, in milliseconds.
	ReplicationDelayMS int    `json:"delay_ms"`
	Seed               uint64 `json:"seed"`
}

// Instance is a stand-in database server.
type Instance struct {
	config InstanceConfig
	slots  chan struct{}
	// connections maps a net.Conn to its *connection.
	connections sync.Map

	// mutex guards all that follows.
	mutex       sync.Mutex
	role        string
	term        uint64
	upstream    string
	incarnation string
	entries     []Entry
	// appended is closed and replaced when an entry is appended.
	appended          chan struct{}
	announceAddresses map[string]bool
	openCount         int
	busy              int
	waiting           int
	slowdown          float64
	replicationDelay  time.Duration
	loseAnswers       int
	resetConnections  int
	silent            bool
	misreportClean    bool
	// leavingSince is in Unix nanoseconds, 0 where the instance stays.
	leavingSince     int64
	connectionCount  int
	transactionCount int
	random           *rand.Rand
	log              *os.File
	executionLog     *os.File
}

// RunInstance serves a stand-in instance until ctx ends. It resumes from the
// state, log and execution files in the configured directory.
func RunInstance(ctx context.Context, config InstanceConfig) error {
	i := newInstance(config)
	if err := i.loadFiles(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: i.routes(), ConnContext: i.onConnectionOpened, ConnState: i.onConnectionState}
	go i.announceLoop(ctx)
	go i.pullLoop(ctx)
	go func() { <-ctx.Done(); _ = server.Close() }()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func newInstance(config InstanceConfig) *Instance {
	i := &Instance{
		config: config, slots: make(chan struct{}, config.Slots), role: config.Role, term: 1, upstream: config.Upstream,
		appended: make(chan struct{}), announceAddresses: map[string]bool{}, slowdown: 1,
		replicationDelay: time.Duration(config.ReplicationDelayMS) * time.Millisecond,
		random:           rand.New(rand.NewPCG(config.Seed, 7)),
		incarnation:      fmt.Sprintf("%s-%d", config.Name, time.Now().UnixNano()),
	}
	for _, address := range config.AnnounceAddresses {
		i.announceAddresses[address] = true
	}
	return i
}

// position returns the position of the last log entry; the caller holds mutex.
func (i *Instance) position() Position {
	if len(i.entries) == 0 {
		return Position{}
	}
	last := i.entries[len(i.entries)-1]
	return Position{last.Term, last.Index}
}

// occupySlot takes a slot for the time of one statement, which grows with the
// load of the instance.
func (i *Instance) occupySlot(write bool) {
	i.mutex.Lock()
	i.waiting++
	i.mutex.Unlock()
	i.slots <- struct{}{}
	i.mutex.Lock()
	i.waiting--
	i.busy++
	service := i.serviceTime(write)
	i.mutex.Unlock()
	time.Sleep(service)
	i.mutex.Lock()
	i.busy--
	i.mutex.Unlock()
	<-i.slots
}

func (i *Instance) serviceTime(write bool) time.Duration {
	service := float64(i.config.ServiceTimeUS) * i.slowdown * (0.6 + 0.8*i.random.Float64())
	service *= 1 + 0.5*float64(i.busy)/float64(i.config.Slots) + 0.02*float64(i.waiting)
	if !write {
		service /= 2
	}
	return time.Duration(service) * time.Microsecond
}
