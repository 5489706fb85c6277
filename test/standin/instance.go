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

// InstanceConfig is the configuration file of one instance.
type InstanceConfig struct {
	Name     string `json:"name"`
	Database string `json:"database"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Role     string `json:"role"`
	Upstream string `json:"upstream"`
	// AnnounceAddresses are the HTTP addresses of the nodes to which the
	// instance first sends its announcements. Their answers contain the
	// addresses of further nodes.
	AnnounceAddresses []string `json:"doors"`
	// Directory is the directory of the instance's files.
	Directory string `json:"folder"`
	// Connections is the maximum number of open database sessions, and Slots
	// the maximum number of statements that run at the same time.
	Connections int `json:"connections"`
	Slots       int `json:"slots"`
	// ServiceTimeUS is the mean time of an unloaded write, in microseconds.
	ServiceTimeUS int `json:"service_us"`
	// ReplicationDelayMS is the delay before the instance applies entries that
	// it has pulled, in milliseconds.
	ReplicationDelayMS int    `json:"delay_ms"`
	Seed               uint64 `json:"seed"`
}

// Instance is a stand-in database server.
type Instance struct {
	config InstanceConfig
	slots  chan struct{}
	// connections maps a net.Conn to its *connection.
	connections sync.Map

	// mutex guards the fields below.
	mutex       sync.Mutex
	role        string
	term        uint64
	upstream    string
	incarnation string
	entries     []Entry
	// appended is closed and replaced by a new channel when an entry is
	// appended.
	appended           chan struct{}
	announceAddresses  map[string]bool
	openCount          int
	runningCount       int
	waitingCount       int
	slowdown           float64
	replicationDelay   time.Duration
	answersToLose      int
	connectionsToReset int
	silent             bool
	misreportClean     bool
	// repeatedShare is the share of answers in sessions that are sent again.
	repeatedShare float64
	// leavingSince is the time at which the instance began to announce that it
	// is leaving, in Unix nanoseconds, or 0 if it is not leaving.
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
	if err := server.Serve(&repeatingListener{Listener: listener, instance: i}); err != http.ErrServerClosed {
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

// position returns the position of the last log entry. The caller must hold
// mutex.
func (i *Instance) position() Position {
	if len(i.entries) == 0 {
		return Position{}
	}
	last := i.entries[len(i.entries)-1]
	return Position{last.Term, last.Index}
}

// occupySlot waits for a slot and holds it for the service time of one
// statement. The service time grows with the load of the instance.
func (i *Instance) occupySlot(write bool) {
	i.mutex.Lock()
	i.waitingCount++
	i.mutex.Unlock()
	i.slots <- struct{}{}
	i.mutex.Lock()
	i.waitingCount--
	i.runningCount++
	service := i.serviceTime(write)
	i.mutex.Unlock()
	time.Sleep(service)
	i.mutex.Lock()
	i.runningCount--
	i.mutex.Unlock()
	<-i.slots
}

func (i *Instance) serviceTime(write bool) time.Duration {
	service := float64(i.config.ServiceTimeUS) * i.slowdown * (0.6 + 0.8*i.random.Float64())
	service *= 1 + 0.5*float64(i.runningCount)/float64(i.config.Slots) + 0.02*float64(i.waitingCount)
	if !write {
		service /= 2
	}
	return time.Duration(service) * time.Microsecond
}
