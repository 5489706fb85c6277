// Package standin holds the stand-ins for what surrounds the fleet: instances,
// platform, callers, and a relay whose links can be cut.
package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Position is a place in the log.
type Position struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// Entry is one commit in an instance's log. A commit of a transaction holds
// all its writes.
type Entry struct {
	Term       uint64   `json:"term"`
	Index      uint64   `json:"index"`
	RequestIDs []string `json:"gos"`
	Statements []string `json:"texts"`
}

// Execution is one statement that an instance ran.
type Execution struct {
	At           int64             `json:"at"`
	Instance     string            `json:"instance"`
	Database     string            `json:"database,omitempty"`
	Connection   string            `json:"conn"`
	Transaction  string            `json:"turn"`
	Action       string            `json:"act,omitempty"`
	Text         string            `json:"text"`
	Arguments    []string          `json:"arguments,omitempty"`
	RequestID    string            `json:"go"`
	Write        bool              `json:"write"`
	Settings     map[string]string `json:"settings,omitempty"`
	Prepared     []string          `json:"prepared,omitempty"`
	Term         uint64            `json:"term"`
	Role         string            `json:"role"`
	LeavingSince int64             `json:"leaving,omitempty"`
}

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

// Fault is what an instance is told to do wrong.
type Fault struct {
	Slowdown           *float64 `json:"slow,omitempty"`
	ReplicationDelayMS *int     `json:"delay_ms,omitempty"`
	LoseAnswers        *int     `json:"lose,omitempty"`
	ResetConnections   *int     `json:"reset,omitempty"`
	Silent             *bool    `json:"silent,omitempty"`
	Leaving            *bool    `json:"leaving,omitempty"`
	// MisreportClean calls every session clean, whatever state it holds.
	MisreportClean *bool `json:"lying,omitempty"`
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

type persistentState struct {
	Role        string `json:"role"`
	Term        uint64 `json:"term"`
	Upstream    string `json:"upstream"`
	Incarnation string `json:"birth"`
}

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

type connectionKey struct{}

var connections sync.Map

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

func (x *Instance) saveState() {
	data, _ := json.Marshal(persistentState{x.role, x.term, x.upstream, x.incarnation})
	path := filepath.Join(x.config.Directory, "state.json")
	_ = os.WriteFile(path+".new", data, 0o644)
	_ = os.Rename(path+".new", path)
}

func (x *Instance) rewriteLog() error {
	if x.logFile != nil {
		_ = x.logFile.Close()
	}
	path := filepath.Join(x.config.Directory, "log.jsonl")
	var buffer bytes.Buffer
	for _, entry := range x.entries {
		line, _ := json.Marshal(entry)
		buffer.Write(append(line, '\n'))
	}
	if err := os.WriteFile(path+".new", buffer.Bytes(), 0o644); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	var err error
	x.logFile, err = os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o644)
	return err
}

func (x *Instance) position() Position {
	if len(x.entries) == 0 {
		return Position{}
	}
	last := x.entries[len(x.entries)-1]
	return Position{last.Term, last.Index}
}

func (x *Instance) appendEntry(entry Entry) {
	line, _ := json.Marshal(entry)
	_, _ = x.logFile.Write(append(line, '\n'))
	x.entries = append(x.entries, entry)
	close(x.appended)
	x.appended = make(chan struct{})
}

type instanceRequest struct {
	Text      string   `json:"text"`
	Prepared  string   `json:"prepared"`
	Arguments []string `json:"arguments"`
	Write     bool     `json:"write"`
	Name      string   `json:"name"`
	Value     string   `json:"value"`
	RequestID string   `json:"go"`
	Term      uint64   `json:"term"`
	Action    string   `json:"-"`
	After     Position `json:"after"`
	WaitMS    int      `json:"wait_ms"`
	Upstream  string   `json:"upstream"`
	Fault     *Fault   `json:"fault"`
}

func (x *Instance) handle(w http.ResponseWriter, r *http.Request, act func(*connection, instanceRequest) (int, any)) {
	accepted := r.Context().Value(connectionKey{}).(*connection)
	var request instanceRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, 4<<20)).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	code, body := act(accepted, request)
	if code == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	data, _ := json.Marshal(body)
	w.WriteHeader(code)
	_, _ = w.Write(data)
}

func (x *Instance) reply(c *connection, extra map[string]any) map[string]any {
	body := map[string]any{
		"position": x.position(), "clean": c.isClean() || x.misreportClean, "inside": c.transaction != nil,
		"role": x.role, "term": x.term, "birth": x.incarnation, "leaving": x.leavingSince != 0,
	}
	for key, value := range extra {
		body[key] = value
	}
	return body
}

func (x *Instance) reject(c *connection, code int, text string) (int, any) {
	return code, x.reply(c, map[string]any{"error": text})
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

func (x *Instance) onOpen(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !c.open && x.openCount >= x.config.Connections {
		return x.reject(c, http.StatusTooManyRequests, "connections are capped")
	}
	if !c.open {
		c.open = true
		x.openCount++
	}
	return http.StatusOK, x.reply(c, nil)
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

func (x *Instance) recordExecution(c *connection, request instanceRequest, text string) {
	execution := Execution{
		At: time.Now().UnixNano(), Instance: x.config.Name, Database: x.config.Database, Connection: c.id, Text: text, Arguments: request.Arguments, RequestID: request.RequestID,
		Action: request.Action, Write: request.Write, Term: x.term, Role: x.role, LeavingSince: x.leavingSince,
	}
	if c.transaction != nil {
		execution.Transaction = c.transaction.id
	}
	if len(c.settings) > 0 {
		execution.Settings = map[string]string{}
		for name, value := range c.settings {
			execution.Settings[name] = value
		}
	}
	for name := range c.prepared {
		execution.Prepared = append(execution.Prepared, name)
	}
	line, _ := json.Marshal(execution)
	_, _ = x.executionFile.Write(append(line, '\n'))
}

func (x *Instance) checkRequest(c *connection, request instanceRequest, write bool) (int, any) {
	if !c.open {
		return x.reject(c, http.StatusConflict, "session not open")
	}
	if request.Term != 0 && request.Term != x.term {
		return x.reject(c, http.StatusConflict, "another term")
	}
	if write && x.role != "primary" {
		return x.reject(c, http.StatusConflict, "not primary")
	}
	return 0, nil
}

func (x *Instance) answerOrLose(body map[string]any) (int, any) {
	if x.loseAnswers > 0 {
		x.loseAnswers--
		return 0, nil
	}
	return http.StatusOK, body
}

func (x *Instance) onRun(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	if x.resetConnections > 0 {
		x.resetConnections--
		x.mutex.Unlock()
		return 0, nil
	}
	if code, body := x.checkRequest(c, request, request.Write); code != 0 {
		x.mutex.Unlock()
		return code, body
	}
	text := request.Text
	if request.Prepared != "" {
		prepared, found := c.prepared[request.Prepared]
		if !found {
			code, body := x.reject(c, http.StatusUnprocessableEntity, "no such prepared statement")
			x.mutex.Unlock()
			return code, body
		}
		text = prepared
	}
	transaction := c.transaction
	x.mutex.Unlock()
	x.occupySlot(request.Write)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if c.transaction != transaction {
		return 0, nil
	}
	if request.Write && x.role != "primary" {
		return x.reject(c, http.StatusConflict, "not primary any more")
	}
	x.recordExecution(c, request, text)
	if !request.Write {
		return x.answerOrLose(x.reply(c, map[string]any{"rows": map[string]any{"upto": x.position(), "settings": c.settings, "text": text}}))
	}
	if c.transaction != nil {
		c.transaction.requestIDs = append(c.transaction.requestIDs, request.RequestID)
		c.transaction.statements = append(c.transaction.statements, text)
		return x.answerOrLose(x.reply(c, map[string]any{"rows": map[string]any{"settings": c.settings, "text": text}}))
	}
	x.appendEntry(Entry{Term: x.term, Index: x.position().Index + 1, RequestIDs: []string{request.RequestID}, Statements: []string{text}})
	return x.answerOrLose(x.reply(c, map[string]any{"rows": map[string]any{"settings": c.settings, "text": text}}))
}

func (x *Instance) onBegin(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if code, body := x.checkRequest(c, request, false); code != 0 {
		return code, body
	}
	if c.transaction != nil {
		return x.reject(c, http.StatusUnprocessableEntity, "a transaction is open")
	}
	x.transactionCount++
	c.transaction = &transaction{id: fmt.Sprintf("%s/%d", c.id, x.transactionCount)}
	return x.answerOrLose(x.reply(c, nil))
}

func (x *Instance) onCommit(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	if code, body := x.checkRequest(c, request, true); code != 0 {
		x.mutex.Unlock()
		return code, body
	}
	if c.transaction == nil {
		code, body := x.reject(c, http.StatusUnprocessableEntity, "no transaction is open")
		x.mutex.Unlock()
		return code, body
	}
	done := c.transaction
	x.mutex.Unlock()
	x.occupySlot(true)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.role != "primary" {
		return x.reject(c, http.StatusConflict, "not primary any more")
	}
	request.Action = "commit"
	x.recordExecution(c, request, "")
	c.transaction = nil
	x.appendEntry(Entry{Term: x.term, Index: x.position().Index + 1, RequestIDs: append(done.requestIDs, request.RequestID), Statements: done.statements})
	return x.answerOrLose(x.reply(c, nil))
}

func (x *Instance) onRollback(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if code, body := x.checkRequest(c, request, false); code != 0 {
		return code, body
	}
	c.transaction = nil
	return x.answerOrLose(x.reply(c, nil))
}

func (x *Instance) onSet(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if code, body := x.checkRequest(c, request, false); code != 0 {
		return code, body
	}
	c.settings[request.Name] = request.Value
	return x.answerOrLose(x.reply(c, nil))
}

func (x *Instance) onPrepare(c *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if code, body := x.checkRequest(c, request, false); code != 0 {
		return code, body
	}
	c.prepared[request.Name] = request.Text
	return x.answerOrLose(x.reply(c, nil))
}

func precedes(a, b Position) bool { return a.Term < b.Term || (a.Term == b.Term && a.Index < b.Index) }

func (x *Instance) awaitAppend(after Position, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		x.mutex.Lock()
		appended, changed := precedes(after, x.position()), x.appended
		x.mutex.Unlock()
		if appended {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

func (x *Instance) onStatus(c *connection, request instanceRequest) (int, any) {
	x.awaitAppend(request.After, time.Duration(min(request.WaitMS, 2000))*time.Millisecond)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return http.StatusOK, x.reply(c, nil)
}

type pullResponse struct {
	Entries  []Entry `json:"entries"`
	Truncate *uint64 `json:"truncate"`
	Term     uint64  `json:"term"`
}

func (x *Instance) onPull(_ *connection, request instanceRequest) (int, any) {
	x.awaitAppend(request.After, time.Duration(min(request.WaitMS, 2000))*time.Millisecond)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	answer := pullResponse{Term: x.term}
	index := int(request.After.Index)
	diverged := index > len(x.entries) || (index > 0 && x.entries[index-1].Term != request.After.Term)
	if x.role != "primary" && diverged {
		return http.StatusOK, answer
	}
	if index > len(x.entries) {
		cut := uint64(len(x.entries))
		answer.Truncate = &cut
		return http.StatusOK, answer
	}
	if index > 0 && x.entries[index-1].Term != request.After.Term {
		cut := uint64(index - 1)
		answer.Truncate = &cut
		return http.StatusOK, answer
	}
	answer.Entries = append(answer.Entries, x.entries[index:min(len(x.entries), index+500)]...)
	return http.StatusOK, answer
}

func (x *Instance) onFault(_ *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	fault := request.Fault
	if fault == nil {
		return http.StatusBadRequest, map[string]any{}
	}
	setIfGiven(fault.Slowdown, &x.slowdown)
	setIfGiven(fault.LoseAnswers, &x.loseAnswers)
	setIfGiven(fault.ResetConnections, &x.resetConnections)
	setIfGiven(fault.Silent, &x.silent)
	setIfGiven(fault.MisreportClean, &x.misreportClean)
	if fault.ReplicationDelayMS != nil {
		x.replicationDelay = time.Duration(*fault.ReplicationDelayMS) * time.Millisecond
	}
	if fault.Leaving != nil {
		x.leavingSince = 0
		if *fault.Leaving {
			x.leavingSince = time.Now().UnixNano()
		}
	}
	return http.StatusOK, map[string]any{}
}

func setIfGiven[T any](from, to *T) {
	if from != nil {
		*to = *from
	}
}

func (x *Instance) onPromote(_ *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.term >= request.Term && x.role != "primary" {
		return http.StatusConflict, map[string]any{"role": x.role, "term": x.term}
	}
	if x.term >= request.Term {
		return http.StatusOK, map[string]any{"role": x.role, "term": x.term}
	}
	x.role, x.term, x.upstream = "primary", request.Term, ""
	x.saveState()
	x.recordExecution(&connection{}, instanceRequest{Action: "promote"}, "")
	x.appendEntry(Entry{Term: x.term, Index: x.position().Index + 1})
	return http.StatusOK, map[string]any{"role": x.role, "term": x.term}
}

func (x *Instance) onFollow(_ *connection, request instanceRequest) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if request.Term < x.term || (x.role == "primary" && request.Term == x.term) {
		return http.StatusConflict, map[string]any{}
	}
	x.role, x.upstream, x.term = "replica", request.Upstream, request.Term
	x.saveState()
	return http.StatusOK, map[string]any{}
}

func post(client *http.Client, address, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(raw, into)
}

func newClient(address string, bound time.Duration) *http.Client {
	host, _, _ := net.SplitHostPort(address)
	dialer := &net.Dialer{Timeout: bound, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	return &http.Client{Timeout: bound, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64}}
}

func (x *Instance) announceLoop(ctx context.Context) {
	client := newClient(x.config.Address, 800*time.Millisecond)
	ticker := time.NewTicker(400 * time.Millisecond)
	defer ticker.Stop()
	for {
		x.mutex.Lock()
		body := map[string]any{
			"instance": x.config.Name, "database": x.config.Database, "address": x.config.Address, "zone": x.config.Zone,
			"role": x.role, "birth": x.incarnation, "term": x.term, "position": x.position(), "leaving": x.leavingSince != 0,
			"connections": x.config.Connections, "slots": x.config.Slots,
		}
		addresses := []string{}
		for address := range x.announceAddresses {
			addresses = append(addresses, address)
		}
		silent := x.silent
		x.mutex.Unlock()
		if !silent {
			for _, address := range addresses {
				go x.announce(client, address, body)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (x *Instance) announce(client *http.Client, address string, body map[string]any) {
	var answer struct {
		Nodes []string `json:"nodes"`
	}
	if post(client, address, "/v1/announce", body, &answer) != nil {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, node := range answer.Nodes {
		x.announceAddresses[node] = true
	}
}

func (x *Instance) pullLoop(ctx context.Context) {
	client := newClient(x.config.Address, 3*time.Second)
	for ctx.Err() == nil {
		x.mutex.Lock()
		role, upstream, after, delay := x.role, x.upstream, x.position(), x.replicationDelay
		x.mutex.Unlock()
		if role != "replica" || upstream == "" {
			wait(ctx, 50*time.Millisecond)
			continue
		}
		var answer pullResponse
		if err := post(client, upstream, "/db/pull", map[string]any{"after": after, "wait_ms": 500}, &answer); err != nil {
			wait(ctx, 100*time.Millisecond)
			continue
		}
		if len(answer.Entries) > 0 || answer.Truncate != nil {
			wait(ctx, delay)
		}
		x.mutex.Lock()
		if x.role == "replica" && x.upstream == upstream && x.position() == after {
			x.apply(answer)
		}
		x.mutex.Unlock()
	}
}

func (x *Instance) apply(answer pullResponse) {
	if answer.Truncate != nil {
		file, err := os.OpenFile(filepath.Join(x.config.Directory, "discarded.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err == nil {
			for _, entry := range x.entries[*answer.Truncate:] {
				line, _ := json.Marshal(entry)
				_, _ = file.Write(append(line, '\n'))
			}
			_ = file.Close()
		}
		x.entries = x.entries[:*answer.Truncate]
		_ = x.rewriteLog()
		return
	}
	for _, entry := range answer.Entries {
		x.appendEntry(entry)
	}
	if answer.Term > x.term {
		x.term = answer.Term
		x.saveState()
	}
}

func wait(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
