package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Event is one request of a caller as the caller saw it.
type Event struct {
	Caller   string   `json:"caller"`
	Session  string   `json:"session"`
	Door     string   `json:"door"`
	Kind     string   `json:"kind"`
	Binding  string   `json:"binding"`
	Database string   `json:"database"`
	FreshMS  int      `json:"fresh_ms"`
	Go       string   `json:"go"`
	Text     string   `json:"text"`
	Sent     int64    `json:"sent"`
	Got      int64    `json:"got"`
	Status   int      `json:"status"`
	Outcome  string   `json:"outcome"`
	Error    string   `json:"error,omitempty"`
	Position Position `json:"position"`
	Upto     Position `json:"upto"`
	Sequence uint64   `json:"sequence"`
	RetryMS  int64    `json:"retry_ms"`
	IsAgain  bool     `json:"again"`
	// Gos are the go ids of the writes inside a transaction.
	Gos []string `json:"gos,omitempty"`
	// Settings are those that the statement's answer showed.
	Settings map[string]string `json:"settings,omitempty"`
	WantSet  string            `json:"want_set,omitempty"`
	// RanText is the text that the answer says was run.
	RanText string `json:"ran_text,omitempty"`
	DeadMS  int64  `json:"dead_ms"`
}

// History gathers events.
type History struct {
	mutex  sync.Mutex
	events []Event
}

// Add notes an event.
func (h *History) Add(event Event) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.events = append(h.events, event)
}

// Events copies what was noted.
func (h *History) Events() []Event {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]Event(nil), h.events...)
}

// Role is one kind of caller.
type Role struct {
	Name    string
	Binding string
	FreshMS int
	// Rate is requests a second over all callers of the role.
	Rate     float64
	Sessions int
	// Writes is the part of its requests that are single writes, Turns the
	// part that are transactions; the rest are reads.
	Writes float64
	Turns  float64
	States float64
}

// Mix is a deployment's callers.
type Mix struct {
	Databases []string
	Zones     []string
	Roles     []Role
}

// Magnolia gives the desk-booking callers.
func Magnolia() Mix {
	return Mix{
		Databases: []string{"desks1", "desks2", "desks3"}, Zones: []string{"za", "zb", "zc"},
		Roles: []Role{
			{Name: "office", Binding: "booking", Rate: 250, Sessions: 150, Writes: 0.85, Turns: 0.1},
			{Name: "floor", Binding: "floor", FreshMS: 1500, Rate: 110, Sessions: 80},
			{Name: "kiosk", Binding: "kiosk", FreshMS: 2500, Rate: 90, Sessions: 70, Writes: 0.5, Turns: 0.1, States: 0.05},
		},
	}
}

// Chile gives the portability callers.
func Chile() Mix {
	return Mix{
		Databases: []string{"port1", "port2", "port3"}, Zones: []string{"za", "zb", "zc"},
		Roles: []Role{
			{Name: "carrier", Binding: "order", Rate: 250, Sessions: 150, Writes: 0.8, Turns: 0.15},
			{Name: "switch", Binding: "owner", FreshMS: 1500, Rate: 110, Sessions: 80},
			{Name: "retail", Binding: "status", FreshMS: 2500, Rate: 90, Sessions: 70, Writes: 0.1, States: 0.05},
		},
	}
}

// Bindings gives the operator's set for a mix.
func (m Mix) Bindings() []map[string]any {
	list := []map[string]any{}
	for _, role := range m.Roles {
		for _, database := range m.Databases {
			list = append(list, map[string]any{"name": role.Binding + "-" + database, "database": database, "freshness_ms": role.FreshMS})
		}
	}
	return list
}

// Callers runs a mix against the doors that the platform hands out.
type Callers struct {
	platform *Platform
	history  *History
	group    sync.WaitGroup
	cancel   context.CancelFunc
	mutex    sync.Mutex
	factor   float64
}

// RunCallers starts every caller of a mix.
func RunCallers(ctx context.Context, mix Mix, platform *Platform, history *History, seed uint64, scale float64) *Callers {
	ctx, cancel := context.WithCancel(ctx)
	c := &Callers{platform: platform, history: history, cancel: cancel, factor: 1}
	number := uint64(0)
	for _, role := range mix.Roles {
		count := max(1, int(float64(role.Sessions)*scale))
		for at := range count {
			number++
			one := &caller{
				all: c, role: role, name: fmt.Sprintf("%s%d", role.Name, at), database: mix.Databases[at%len(mix.Databases)],
				zone: mix.Zones[(at/len(mix.Databases))%len(mix.Zones)], random: rand.New(rand.NewPCG(seed, number)),
				think: time.Duration(float64(time.Second) * float64(count) / (role.Rate * scale)),
			}
			c.group.Add(1)
			go func() {
				defer c.group.Done()
				one.live(ctx)
			}()
		}
	}
	return c
}

// Rush multiplies the callers' rate.
func (c *Callers) Rush(factor float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.factor = factor
}

// Stop ends the callers after what they have under way.
func (c *Callers) Stop() {
	c.cancel()
	c.group.Wait()
}

type caller struct {
	all      *Callers
	role     Role
	name     string
	database string
	zone     string
	random   *rand.Rand
	think    time.Duration

	client   *http.Client
	door     string
	session  string
	mark     string
	count    int
	setting  string
	prepared string
}

type answer struct {
	Session  string          `json:"session"`
	Outcome  string          `json:"outcome"`
	Rows     json.RawMessage `json:"rows"`
	Mark     string          `json:"mark"`
	Position Position        `json:"position"`
	Error    string          `json:"error"`
	IsClosed bool            `json:"is_closed"`
	RetryMS  int64           `json:"retry_after_ms"`
	Sequence uint64          `json:"sequence"`
}

func (c *caller) live(ctx context.Context) {
	pause(ctx, time.Duration(c.random.Float64()*float64(c.think)))
	for ctx.Err() == nil {
		if c.session == "" && !c.open(ctx) {
			continue
		}
		c.turn(ctx)
		c.all.mutex.Lock()
		factor := c.all.factor
		c.all.mutex.Unlock()
		pause(ctx, time.Duration(c.random.ExpFloat64()*float64(c.think)/factor))
	}
	if c.session != "" {
		_, _, _ = c.call("/v1/session/close", map[string]any{"session": c.session})
	}
}

func (c *caller) open(ctx context.Context) bool {
	door, isOne := c.all.platform.Door(c.zone)
	if !isOne {
		pause(ctx, time.Duration(200+c.random.IntN(200))*time.Millisecond)
		return false
	}
	c.door = door
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	c.client = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, MaxConnsPerHost: 1}}
	sent := time.Now()
	status, got, err := c.call("/v1/session/open", map[string]any{"binding": c.role.Binding + "-" + c.database, "mark": c.mark})
	event := c.event("open", sent, status, got, err)
	c.all.history.Add(event)
	if err != nil || status != http.StatusOK {
		pause(ctx, time.Duration(max(got.RetryMS, 100)+c.random.Int64N(200))*time.Millisecond)
		return false
	}
	c.session, c.setting, c.prepared = got.Session, "", ""
	return true
}

func (c *caller) call(path string, body map[string]any) (int, answer, error) {
	var got answer
	data, _ := json.Marshal(body)
	response, err := c.client.Post("http://"+c.door+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, got, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, got, err
	}
	err = json.Unmarshal(raw, &got)
	return response.StatusCode, got, err
}

func (c *caller) event(kind string, sent time.Time, status int, got answer, err error) Event {
	event := Event{
		Caller: c.name, Session: c.session, Door: c.door, Kind: kind, Binding: c.role.Binding + "-" + c.database,
		Database: c.database, FreshMS: c.role.FreshMS, Sent: sent.UnixNano(), Got: time.Now().UnixNano(), Status: status,
		Outcome: got.Outcome, Error: got.Error, Position: got.Position, Sequence: got.Sequence, RetryMS: got.RetryMS,
		WantSet: c.setting,
	}
	if err != nil {
		event.Error, event.Outcome = err.Error(), "cut"
	}
	var rows struct {
		Upto     Position          `json:"upto"`
		Settings map[string]string `json:"settings"`
		Text     string            `json:"text"`
	}
	if len(got.Rows) > 0 && json.Unmarshal(got.Rows, &rows) == nil {
		event.Upto, event.Settings, event.RanText = rows.Upto, rows.Settings, rows.Text
	}
	return event
}

func (c *caller) ask(kind, path string, body map[string]any) (Event, bool) {
	body["session"] = c.session
	if kind != "close" && body["deadline_ms"] == nil {
		body["deadline_ms"] = 6000
	}
	sent := time.Now()
	status, got, err := c.call(path, body)
	event := c.event(kind, sent, status, got, err)
	event.Go, _ = body["go"].(string)
	event.Text, _ = body["text"].(string)
	event.DeadMS = 6000
	if got.Mark != "" {
		c.mark = got.Mark
	}
	isOn := err == nil && !got.IsClosed && status != http.StatusNotFound
	if !isOn {
		c.session, c.setting, c.prepared = "", "", ""
	}
	return event, isOn
}

func (c *caller) nextGo() string {
	c.count++
	return fmt.Sprintf("%s.%d", c.session, c.count)
}

func (c *caller) text(verb string, id string) string {
	return fmt.Sprintf("%s \"%s\" by %s é\\%d", verb, id, c.name, c.random.IntN(1000))
}

func (c *caller) turn(ctx context.Context) {
	draw := c.random.Float64()
	if c.setting == "" && c.random.Float64() < c.role.States {
		value := c.session
		event, isOn := c.ask("set", "/v1/setting", map[string]any{"name": "app", "value": value})
		c.all.history.Add(event)
		if isOn && event.Outcome == "done" {
			c.setting = value
		}
		if !isOn {
			return
		}
	}
	if c.prepared == "" && c.random.Float64() < c.role.States {
		text := c.text("look", c.database+" prepared")
		event, isOn := c.ask("prepare", "/v1/prepare", map[string]any{"name": "p", "text": text})
		event.Text = ""
		c.all.history.Add(event)
		if isOn && event.Outcome == "done" {
			c.prepared = text
		}
		if !isOn {
			return
		}
	}
	ways := []struct {
		part float64
		act  func(context.Context)
	}{{c.role.Writes, c.write}, {c.role.Turns, c.transact}, {2, c.read}}
	for _, way := range ways {
		if draw < way.part {
			way.act(ctx)
			return
		}
		draw -= way.part
	}
}

func (c *caller) comeBack(ctx context.Context, event Event) {
	if event.RetryMS > 0 {
		pause(ctx, time.Duration(event.RetryMS)*time.Millisecond)
	}
}

func (c *caller) read(ctx context.Context) {
	body := map[string]any{"kind": "read", "text": c.text("look", c.database)}
	prepared := c.prepared
	isPrepared := prepared != "" && c.random.Float64() < 0.5
	if isPrepared {
		body = map[string]any{"kind": "read", "prepared": "p"}
	}
	event, _ := c.ask("read", "/v1/statement", body)
	if isPrepared {
		event.Text = prepared
	}
	c.all.history.Add(event)
	c.comeBack(ctx, event)
}

func (c *caller) write(ctx context.Context) {
	id := c.nextGo()
	text := c.text("book", id)
	event, _ := c.ask("write", "/v1/statement", map[string]any{"kind": "write", "text": text, "go": id})
	c.all.history.Add(event)
	c.comeBack(ctx, event)
	isOpen := event.Outcome == "unknown" || event.Outcome == "cut"
	for again := 0; isOpen && again < 3 && ctx.Err() == nil; again++ {
		if c.session == "" && !c.open(ctx) {
			continue
		}
		event, _ = c.ask("write", "/v1/statement", map[string]any{"kind": "write", "text": text, "go": id})
		event.IsAgain = true
		c.all.history.Add(event)
		c.comeBack(ctx, event)
		isOpen = event.Outcome == "unknown" || event.Outcome == "cut"
	}
}

func (c *caller) transact(ctx context.Context) {
	event, isOn := c.ask("begin", "/v1/begin", map[string]any{})
	c.all.history.Add(event)
	if !isOn || event.Outcome != "done" {
		c.comeBack(ctx, event)
		return
	}
	var gos []string
	for range 1 + c.random.IntN(2) {
		id := c.nextGo()
		event, isOn = c.ask("inside", "/v1/statement", map[string]any{"kind": "write", "text": c.text("hold", id), "go": id})
		c.all.history.Add(event)
		gos = append(gos, id)
		if !isOn {
			return
		}
		if event.Outcome != "done" {
			event, _ = c.ask("rollback", "/v1/rollback", map[string]any{})
			c.all.history.Add(event)
			return
		}
	}
	if c.random.Float64() < 0.1 {
		event, _ = c.ask("rollback", "/v1/rollback", map[string]any{})
		event.Gos = gos
		c.all.history.Add(event)
		return
	}
	event, _ = c.ask("commit", "/v1/commit", map[string]any{"go": c.nextGo()})
	event.Gos = gos
	c.all.history.Add(event)
	c.comeBack(ctx, event)
}
