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
	Term  uint64   `json:"term"`
	Index uint64   `json:"index"`
	Gos   []string `json:"gos"`
	Texts []string `json:"texts"`
}

// Ran is one statement that an instance ran.
type Ran struct {
	At        int64             `json:"at"`
	Instance  string            `json:"instance"`
	Database  string            `json:"database,omitempty"`
	Conn      string            `json:"conn"`
	Turn      string            `json:"turn"`
	Act       string            `json:"act,omitempty"`
	Text      string            `json:"text"`
	Arguments []string          `json:"arguments,omitempty"`
	Go        string            `json:"go"`
	IsWrite   bool              `json:"write"`
	Settings  map[string]string `json:"settings,omitempty"`
	Prepared  []string          `json:"prepared,omitempty"`
	Term      uint64            `json:"term"`
	Role      string            `json:"role"`
	Leaving   int64             `json:"leaving,omitempty"`
}

// InstanceConfig places an instance.
type InstanceConfig struct {
	Name        string   `json:"name"`
	Database    string   `json:"database"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`
	Role        string   `json:"role"`
	Upstream    string   `json:"upstream"`
	Doors       []string `json:"doors"`
	Folder      string   `json:"folder"`
	Connections int      `json:"connections"`
	Slots       int      `json:"slots"`
	ServiceUS   int      `json:"service_us"`
	DelayMS     int      `json:"delay_ms"`
	Seed        uint64   `json:"seed"`
}

// Fault is what an instance is told to do wrong.
type Fault struct {
	Slow     *float64 `json:"slow,omitempty"`
	DelayMS  *int     `json:"delay_ms,omitempty"`
	Lose     *int     `json:"lose,omitempty"`
	Reset    *int     `json:"reset,omitempty"`
	IsSilent *bool    `json:"silent,omitempty"`
	IsLeave  *bool    `json:"leaving,omitempty"`
	// IsLying calls every session clean, whatever state it holds.
	IsLying *bool `json:"lying,omitempty"`
}

type turn struct {
	id    string
	gos   []string
	texts []string
}

type conn struct {
	id       string
	isOpen   bool
	settings map[string]string
	prepared map[string]string
	turn     *turn
	raw      net.Conn
}

func (c *conn) isClean() bool { return c.turn == nil && len(c.settings) == 0 && len(c.prepared) == 0 }

// Instance is a stand-in database server.
type Instance struct {
	config InstanceConfig
	slots  chan struct{}

	mutex    sync.Mutex
	role     string
	term     uint64
	upstream string
	birth    string
	entries  []Entry
	moved    chan struct{}
	doors    map[string]bool
	opened   int
	busy     int
	waiting  int
	slow     float64
	delay    time.Duration
	lose     int
	reset    int
	isSilent bool
	isLying  bool
	leaving  int64
	conns    int
	turns    int
	random   *rand.Rand
	log      *os.File
	ran      *os.File
}

type state struct {
	Role     string `json:"role"`
	Term     uint64 `json:"term"`
	Upstream string `json:"upstream"`
	Birth    string `json:"birth"`
}

// RunInstance serves until the context ends.
func RunInstance(ctx context.Context, config InstanceConfig) error {
	x := &Instance{
		config: config, slots: make(chan struct{}, config.Slots), role: config.Role, term: 1, upstream: config.Upstream,
		moved: make(chan struct{}), doors: map[string]bool{}, slow: 1, delay: time.Duration(config.DelayMS) * time.Millisecond,
		random: rand.New(rand.NewPCG(config.Seed, 7)), birth: fmt.Sprintf("%s-%d", config.Name, time.Now().UnixNano()),
	}
	if err := x.load(); err != nil {
		return err
	}
	for _, door := range config.Doors {
		x.doors[door] = true
	}
	mux := http.NewServeMux()
	for path, act := range map[string]func(*conn, request) (int, any){
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
		x.conns++
		made := &conn{id: fmt.Sprintf("%s#%d#%d", config.Name, os.Getpid(), x.conns), settings: map[string]string{}, prepared: map[string]string{}, raw: raw}
		held.Store(raw, made)
		return context.WithValue(ctx, connKey{}, made)
	}, ConnState: func(raw net.Conn, to http.ConnState) {
		if to == http.StateClosed || to == http.StateHijacked {
			if made, isHeld := held.LoadAndDelete(raw); isHeld {
				x.gone(made.(*conn))
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

type connKey struct{}

var held sync.Map

func (x *Instance) load() error {
	if err := os.MkdirAll(x.config.Folder, 0o755); err != nil {
		return err
	}
	statePath := filepath.Join(x.config.Folder, "state.json")
	if data, err := os.ReadFile(statePath); err == nil {
		var s state
		if json.Unmarshal(data, &s) == nil {
			x.role, x.term, x.upstream, x.birth = s.Role, s.Term, s.Upstream, s.Birth
		}
	}
	if file, err := os.Open(filepath.Join(x.config.Folder, "log.jsonl")); err == nil {
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
	if err := x.rewrite(); err != nil {
		return err
	}
	var err error
	x.ran, err = os.OpenFile(filepath.Join(x.config.Folder, "ran.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	x.saveState()
	return nil
}

func (x *Instance) saveState() {
	data, _ := json.Marshal(state{x.role, x.term, x.upstream, x.birth})
	path := filepath.Join(x.config.Folder, "state.json")
	_ = os.WriteFile(path+".new", data, 0o644)
	_ = os.Rename(path+".new", path)
}

func (x *Instance) rewrite() error {
	if x.log != nil {
		_ = x.log.Close()
	}
	path := filepath.Join(x.config.Folder, "log.jsonl")
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
	x.log, err = os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o644)
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
	_, _ = x.log.Write(append(line, '\n'))
	x.entries = append(x.entries, entry)
	close(x.moved)
	x.moved = make(chan struct{})
}

type request struct {
	Text      string   `json:"text"`
	Prepared  string   `json:"prepared"`
	Arguments []string `json:"arguments"`
	IsWrite   bool     `json:"write"`
	Name      string   `json:"name"`
	Value     string   `json:"value"`
	Go        string   `json:"go"`
	Term      uint64   `json:"term"`
	Act       string   `json:"-"`
	After     Position `json:"after"`
	WaitMS    int      `json:"wait_ms"`
	Upstream  string   `json:"upstream"`
	Fault     *Fault   `json:"fault"`
}

func (x *Instance) handle(w http.ResponseWriter, r *http.Request, act func(*conn, request) (int, any)) {
	made := r.Context().Value(connKey{}).(*conn)
	var asked request
	if err := json.NewDecoder(io.LimitReader(r.Body, 4<<20)).Decode(&asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	code, body := act(made, asked)
	if code == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	data, _ := json.Marshal(body)
	w.WriteHeader(code)
	_, _ = w.Write(data)
}

func (x *Instance) reply(c *conn, extra map[string]any) map[string]any {
	body := map[string]any{
		"position": x.position(), "clean": c.isClean() || x.isLying, "inside": c.turn != nil,
		"role": x.role, "term": x.term, "birth": x.birth, "leaving": x.leaving != 0,
	}
	for key, value := range extra {
		body[key] = value
	}
	return body
}

func (x *Instance) refuse(c *conn, code int, text string) (int, any) {
	return code, x.reply(c, map[string]any{"error": text})
}

func (x *Instance) gone(c *conn) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if c.isOpen {
		x.opened--
		c.isOpen = false
	}
	c.turn = nil
}

func (x *Instance) onOpen(c *conn, asked request) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !c.isOpen && x.opened >= x.config.Connections {
		return x.refuse(c, http.StatusTooManyRequests, "connections are capped")
	}
	if !c.isOpen {
		c.isOpen = true
		x.opened++
	}
	return http.StatusOK, x.reply(c, nil)
}

func (x *Instance) work(isWrite bool) {
	x.mutex.Lock()
	x.waiting++
	x.mutex.Unlock()
	x.slots <- struct{}{}
	x.mutex.Lock()
	x.waiting--
	x.busy++
	service := float64(x.config.ServiceUS) * x.slow * (0.6 + 0.8*x.random.Float64())
	service *= 1 + 0.5*float64(x.busy)/float64(x.config.Slots) + 0.02*float64(x.waiting)
	if !isWrite {
		service /= 2
	}
	x.mutex.Unlock()
	time.Sleep(time.Duration(service) * time.Microsecond)
	x.mutex.Lock()
	x.busy--
	x.mutex.Unlock()
	<-x.slots
}

func (x *Instance) note(c *conn, asked request, text string) {
	ran := Ran{
		At: time.Now().UnixNano(), Instance: x.config.Name, Database: x.config.Database, Conn: c.id, Text: text, Arguments: asked.Arguments, Go: asked.Go,
		Act: asked.Act, IsWrite: asked.IsWrite, Term: x.term, Role: x.role, Leaving: x.leaving,
	}
	if c.turn != nil {
		ran.Turn = c.turn.id
	}
	if len(c.settings) > 0 {
		ran.Settings = map[string]string{}
		for name, value := range c.settings {
			ran.Settings[name] = value
		}
	}
	for name := range c.prepared {
		ran.Prepared = append(ran.Prepared, name)
	}
	line, _ := json.Marshal(ran)
	_, _ = x.ran.Write(append(line, '\n'))
}

func (x *Instance) guard(c *conn, asked request, isWrite bool) (int, any) {
	if !c.isOpen {
		return x.refuse(c, http.StatusConflict, "session not open")
	}
	if asked.Term != 0 && asked.Term != x.term {
		return x.refuse(c, http.StatusConflict, "another term")
	}
	if isWrite && x.role != "primary" {
		return x.refuse(c, http.StatusConflict, "not primary")
	}
	return 0, nil
}

func (x *Instance) answered(body map[string]any) (int, any) {
	if x.lose > 0 {
		x.lose--
		return 0, nil
	}
	return http.StatusOK, body
}

func (x *Instance) onRun(c *conn, asked request) (int, any) {
	x.mutex.Lock()
	if x.reset > 0 {
		x.reset--
		x.mutex.Unlock()
		return 0, nil
	}
	if code, body := x.guard(c, asked, asked.IsWrite); code != 0 {
		x.mutex.Unlock()
		return code, body
	}
	text := asked.Text
	if asked.Prepared != "" {
		prepared, isHeld := c.prepared[asked.Prepared]
		if !isHeld {
			code, body := x.refuse(c, http.StatusUnprocessableEntity, "no such prepared statement")
			x.mutex.Unlock()
			return code, body
		}
		text = prepared
	}
	turn := c.turn
	x.mutex.Unlock()
	x.work(asked.IsWrite)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if c.turn != turn {
		return 0, nil
	}
	if asked.IsWrite && x.role != "primary" {
		return x.refuse(c, http.StatusConflict, "not primary any more")
	}
	x.note(c, asked, text)
	if !asked.IsWrite {
		return x.answered(x.reply(c, map[string]any{"rows": map[string]any{"upto": x.position(), "settings": c.settings, "text": text}}))
	}
	if c.turn != nil {
		c.turn.gos = append(c.turn.gos, asked.Go)
		c.turn.texts = append(c.turn.texts, text)
		return x.answered(x.reply(c, map[string]any{"rows": map[string]any{"settings": c.settings, "text": text}}))
	}
	x.appendEntry(Entry{Term: x.term, Index: x.position().Index + 1, Gos: []string{asked.Go}, Texts: []string{text}})
	return x.answered(x.reply(c, map[string]any{"rows": map[string]any{"settings": c.settings, "text": text}}))
}

func (x *Instance) onBegin(c *conn, asked request) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if code, body := x.guard(c, asked, false); code != 0 {
		return code, body
	}
	if c.turn != nil {
		return x.refuse(c, http.StatusUnprocessableEntity, "a transaction is open")
	}
	x.turns++
	c.turn = &turn{id: fmt.Sprintf("%s/%d", c.id, x.turns)}
	return x.answered(x.reply(c, nil))
}

func (x *Instance) onCommit(c *conn, asked request) (int, any) {
	x.mutex.Lock()
	if code, body := x.guard(c, asked, true); code != 0 {
		x.mutex.Unlock()
		return code, body
	}
	if c.turn == nil {
		code, body := x.refuse(c, http.StatusUnprocessableEntity, "no transaction is open")
		x.mutex.Unlock()
		return code, body
	}
	done := c.turn
	x.mutex.Unlock()
	x.work(true)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.role != "primary" {
		return x.refuse(c, http.StatusConflict, "not primary any more")
	}
	asked.Act = "commit"
	x.note(c, asked, "")
	c.turn = nil
	x.appendEntry(Entry{Term: x.term, Index: x.position().Index + 1, Gos: append(done.gos, asked.Go), Texts: done.texts})
	return x.answered(x.reply(c, nil))
}

func (x *Instance) onRollback(c *conn, asked request) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if code, body := x.guard(c, asked, false); code != 0 {
		return code, body
	}
	c.turn = nil
	return x.answered(x.reply(c, nil))
}

func (x *Instance) onSet(c *conn, asked request) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if code, body := x.guard(c, asked, false); code != 0 {
		return code, body
	}
	c.settings[asked.Name] = asked.Value
	return x.answered(x.reply(c, nil))
}

func (x *Instance) onPrepare(c *conn, asked request) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if code, body := x.guard(c, asked, false); code != 0 {
		return code, body
	}
	c.prepared[asked.Name] = asked.Text
	return x.answered(x.reply(c, nil))
}

func before(a, b Position) bool { return a.Term < b.Term || (a.Term == b.Term && a.Index < b.Index) }

func (x *Instance) awaitPast(after Position, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		x.mutex.Lock()
		isPast, moved := before(after, x.position()), x.moved
		x.mutex.Unlock()
		if isPast {
			return
		}
		select {
		case <-moved:
		case <-timer.C:
			return
		}
	}
}

func (x *Instance) onStatus(c *conn, asked request) (int, any) {
	x.awaitPast(asked.After, time.Duration(min(asked.WaitMS, 2000))*time.Millisecond)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return http.StatusOK, x.reply(c, nil)
}

type pulled struct {
	Entries  []Entry `json:"entries"`
	Truncate *uint64 `json:"truncate"`
	Term     uint64  `json:"term"`
}

func (x *Instance) onPull(_ *conn, asked request) (int, any) {
	x.awaitPast(asked.After, time.Duration(min(asked.WaitMS, 2000))*time.Millisecond)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	answer := pulled{Term: x.term}
	at := int(asked.After.Index)
	isApart := at > len(x.entries) || (at > 0 && x.entries[at-1].Term != asked.After.Term)
	if x.role != "primary" && isApart {
		return http.StatusOK, answer
	}
	if at > len(x.entries) {
		cut := uint64(len(x.entries))
		answer.Truncate = &cut
		return http.StatusOK, answer
	}
	if at > 0 && x.entries[at-1].Term != asked.After.Term {
		cut := uint64(at - 1)
		answer.Truncate = &cut
		return http.StatusOK, answer
	}
	answer.Entries = append(answer.Entries, x.entries[at:min(len(x.entries), at+500)]...)
	return http.StatusOK, answer
}

func (x *Instance) onFault(_ *conn, asked request) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	fault := asked.Fault
	if fault == nil {
		return http.StatusBadRequest, map[string]any{}
	}
	set(fault.Slow, &x.slow)
	set(fault.Lose, &x.lose)
	set(fault.Reset, &x.reset)
	set(fault.IsSilent, &x.isSilent)
	set(fault.IsLying, &x.isLying)
	if fault.DelayMS != nil {
		x.delay = time.Duration(*fault.DelayMS) * time.Millisecond
	}
	if fault.IsLeave != nil {
		x.leaving = 0
		if *fault.IsLeave {
			x.leaving = time.Now().UnixNano()
		}
	}
	return http.StatusOK, map[string]any{}
}

func set[T any](from, to *T) {
	if from != nil {
		*to = *from
	}
}

func (x *Instance) onPromote(_ *conn, asked request) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.term >= asked.Term && x.role != "primary" {
		return http.StatusConflict, map[string]any{"role": x.role, "term": x.term}
	}
	if x.term >= asked.Term {
		return http.StatusOK, map[string]any{"role": x.role, "term": x.term}
	}
	x.role, x.term, x.upstream = "primary", asked.Term, ""
	x.saveState()
	x.note(&conn{}, request{Act: "promote"}, "")
	x.appendEntry(Entry{Term: x.term, Index: x.position().Index + 1})
	return http.StatusOK, map[string]any{"role": x.role, "term": x.term}
}

func (x *Instance) onFollow(_ *conn, asked request) (int, any) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if asked.Term < x.term || (x.role == "primary" && asked.Term == x.term) {
		return http.StatusConflict, map[string]any{}
	}
	x.role, x.upstream, x.term = "replica", asked.Upstream, asked.Term
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

func clientFrom(address string, bound time.Duration) *http.Client {
	host, _, _ := net.SplitHostPort(address)
	dialer := &net.Dialer{Timeout: bound, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	return &http.Client{Timeout: bound, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64}}
}

func (x *Instance) announceLoop(ctx context.Context) {
	client := clientFrom(x.config.Address, 800*time.Millisecond)
	ticker := time.NewTicker(400 * time.Millisecond)
	defer ticker.Stop()
	for {
		x.mutex.Lock()
		body := map[string]any{
			"instance": x.config.Name, "database": x.config.Database, "address": x.config.Address, "zone": x.config.Zone,
			"role": x.role, "birth": x.birth, "term": x.term, "position": x.position(), "leaving": x.leaving != 0,
			"connections": x.config.Connections, "slots": x.config.Slots,
		}
		doors := []string{}
		for door := range x.doors {
			doors = append(doors, door)
		}
		isSilent := x.isSilent
		x.mutex.Unlock()
		if !isSilent {
			for _, door := range doors {
				go x.announce(client, door, body)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (x *Instance) announce(client *http.Client, door string, body map[string]any) {
	var answer struct {
		Nodes []string `json:"nodes"`
	}
	if post(client, door, "/v1/announce", body, &answer) != nil {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, node := range answer.Nodes {
		x.doors[node] = true
	}
}

func (x *Instance) pullLoop(ctx context.Context) {
	client := clientFrom(x.config.Address, 3*time.Second)
	for ctx.Err() == nil {
		x.mutex.Lock()
		role, upstream, after, delay := x.role, x.upstream, x.position(), x.delay
		x.mutex.Unlock()
		if role != "replica" || upstream == "" {
			pause(ctx, 50*time.Millisecond)
			continue
		}
		var got pulled
		if err := post(client, upstream, "/db/pull", map[string]any{"after": after, "wait_ms": 500}, &got); err != nil {
			pause(ctx, 100*time.Millisecond)
			continue
		}
		if len(got.Entries) > 0 || got.Truncate != nil {
			pause(ctx, delay)
		}
		x.mutex.Lock()
		if x.role == "replica" && x.upstream == upstream && x.position() == after {
			x.apply(got)
		}
		x.mutex.Unlock()
	}
}

func (x *Instance) apply(got pulled) {
	if got.Truncate != nil {
		file, err := os.OpenFile(filepath.Join(x.config.Folder, "discarded.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err == nil {
			for _, entry := range x.entries[*got.Truncate:] {
				line, _ := json.Marshal(entry)
				_, _ = file.Write(append(line, '\n'))
			}
			_ = file.Close()
		}
		x.entries = x.entries[:*got.Truncate]
		_ = x.rewrite()
		return
	}
	for _, entry := range got.Entries {
		x.appendEntry(entry)
	}
	if got.Term > x.term {
		x.term = got.Term
		x.saveState()
	}
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
