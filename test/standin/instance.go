// Package standin holds the stand-ins for what surrounds the fleet: instances,
// platform, callers, and a relay whose links can be cut.
package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// InstanceConfig places an instance.
type InstanceConfig struct {
	Name               string   `json:"name"`
	Database           string   `json:"database"`
	Address            string   `json:"address"`
	Zone               string   `json:"zone"`
	Role               string   `json:"role"`
	Upstream           string   `json:"upstream"`
	AnnounceAddresses  []string `json:"doors"`
	Directory          string   `json:"folder"`
	Connections        int      `json:"connections"`
	Slots              int      `json:"slots"`
	ServiceTimeUS      int      `json:"service_us"`
	ReplicationDelayMS int      `json:"delay_ms"`
	Seed               uint64   `json:"seed"`
}

// Instance is a stand-in database server.
type Instance struct {
	config InstanceConfig
	slots  chan struct{}

	mutex             sync.Mutex
	role              string
	term              uint64
	upstream          string
	incarnation       string
	entries           []Entry
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
	leavingSince      int64
	connectionCount   int
	transactionCount  int
	random            *rand.Rand
	logFile           *os.File
	executionFile     *os.File
}

type transaction struct {
	id         string
	requestIDs []string
	statements []string
}

type connection struct {
	id          string
	open        bool
	settings    map[string]string
	prepared    map[string]string
	transaction *transaction
	raw         net.Conn
}

func (c *connection) isClean() bool {
	return c.transaction == nil && len(c.settings) == 0 && len(c.prepared) == 0
}

type connectionKey struct{}

var connections sync.Map

// RunInstance serves until the context ends.
func RunInstance(ctx context.Context, config InstanceConfig) error {
	x := &Instance{
		config: config, slots: make(chan struct{}, config.Slots), role: config.Role, term: 1, upstream: config.Upstream,
		appended: make(chan struct{}), announceAddresses: map[string]bool{}, slowdown: 1, replicationDelay: time.Duration(config.ReplicationDelayMS) * time.Millisecond,
		random: rand.New(rand.NewPCG(config.Seed, 7)), incarnation: fmt.Sprintf("%s-%d", config.Name, time.Now().UnixNano()),
	}
	if err := x.loadFiles(); err != nil {
		return err
	}
	for _, address := range config.AnnounceAddresses {
		x.announceAddresses[address] = true
	}
	mux := http.NewServeMux()
	for path, act := range map[string]func(*connection, instanceRequest) (int, any){
		"/db/open": x.onOpen, "/db/run": x.onRun, "/db/begin": x.onBegin, "/db/commit": x.onCommit,
		"/db/rollback": x.onRollback, "/db/set": x.onSet, "/db/prepare": x.onPrepare, "/db/status": x.onStatus,
		"/db/pull": x.onPull, "/admin/fault": x.onFault, "/admin/promote": x.onPromote, "/admin/follow": x.onFollow,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { x.handle(w, r, act) })
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: mux, ConnContext: func(ctx context.Context, raw net.Conn) context.Context {
		x.mutex.Lock()
		defer x.mutex.Unlock()
		x.connectionCount++
		accepted := &connection{id: fmt.Sprintf("%s#%d#%d", config.Name, os.Getpid(), x.connectionCount), settings: map[string]string{}, prepared: map[string]string{}, raw: raw}
		connections.Store(raw, accepted)
		return context.WithValue(ctx, connectionKey{}, accepted)
	}, ConnState: func(raw net.Conn, to http.ConnState) {
		if to == http.StateClosed || to == http.StateHijacked {
			if accepted, found := connections.LoadAndDelete(raw); found {
				x.onConnectionClosed(accepted.(*connection))
			}
		}
	}}
	go x.announceLoop(ctx)
	go x.pullLoop(ctx)
	go func() { <-ctx.Done(); _ = server.Close() }()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (x *Instance) onConnectionClosed(c *connection) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if c.open {
		x.openCount--
		c.open = false
	}
	c.transaction = nil
}

func (x *Instance) position() Position {
	if len(x.entries) == 0 {
		return Position{}
	}
	last := x.entries[len(x.entries)-1]
	return Position{last.Term, last.Index}
}

func (x *Instance) occupySlot(write bool) {
	x.mutex.Lock()
	x.waiting++
	x.mutex.Unlock()
	x.slots <- struct{}{}
	x.mutex.Lock()
	x.waiting--
	x.busy++
	service := float64(x.config.ServiceTimeUS) * x.slowdown * (0.6 + 0.8*x.random.Float64())
	service *= 1 + 0.5*float64(x.busy)/float64(x.config.Slots) + 0.02*float64(x.waiting)
	if !write {
		service /= 2
	}
	x.mutex.Unlock()
	time.Sleep(time.Duration(service) * time.Microsecond)
	x.mutex.Lock()
	x.busy--
	x.mutex.Unlock()
	<-x.slots
}

func (x *Instance) loadFiles() error {
	if err := os.MkdirAll(x.config.Directory, 0o755); err != nil {
		return err
	}
	statePath := filepath.Join(x.config.Directory, "state.json")
	if data, err := os.ReadFile(statePath); err == nil {
		var s persistentState
		if json.Unmarshal(data, &s) == nil {
			x.role, x.term, x.upstream, x.incarnation = s.Role, s.Term, s.Upstream, s.Incarnation
		}
	}
	if file, err := os.Open(filepath.Join(x.config.Directory, "log.jsonl")); err == nil {
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<22)
		for lines.Scan() {
			var entry Entry
			if json.Unmarshal(lines.Bytes(), &entry) != nil {
				break
			}
			x.entries = append(x.entries, entry)
		}
		_ = file.Close()
	}
	if err := x.rewriteLog(); err != nil {
		return err
	}
	var err error
	x.executionFile, err = os.OpenFile(filepath.Join(x.config.Directory, "ran.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	x.saveState()
	return nil
}
