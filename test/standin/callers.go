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
	Caller          string   `json:"caller"`
	Session         string   `json:"session"`
	Address         string   `json:"door"`
	Kind            string   `json:"kind"`
	Binding         string   `json:"binding"`
	Database        string   `json:"database"`
	FreshnessMS     int      `json:"fresh_ms"`
	RequestID       string   `json:"go"`
	Text            string   `json:"text"`
	SentAt          int64    `json:"sent"`
	AnsweredAt      int64    `json:"got"`
	Status          int      `json:"status"`
	Outcome         string   `json:"outcome"`
	Error           string   `json:"error,omitempty"`
	Position        Position `json:"position"`
	AppliedPosition Position `json:"upto"`
	Sequence        uint64   `json:"sequence"`
	RetryAfterMS    int64    `json:"retry_ms"`
	Retry           bool     `json:"again"`
	// RequestIDs are the go ids of the writes inside a transaction.
	RequestIDs []string `json:"gos,omitempty"`
	// Settings are those that the statement's answer showed.
	Settings        map[string]string `json:"settings,omitempty"`
	ExpectedSetting string            `json:"want_set,omitempty"`
	// ExecutedText is the text that the answer says was run.
	ExecutedText string `json:"ran_text,omitempty"`
	DeadlineMS   int64  `json:"dead_ms"`
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
	Name        string
	Binding     string
	FreshnessMS int
	// RequestRate is requests a second over all callers of the role.
	RequestRate float64
	Sessions    int
	// WriteShare is the part of its requests that are single writes, Turns the
	// part that are transactions; the rest are reads.
	WriteShare        float64
	TransactionShare  float64
	SessionStateShare float64
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
			{Name: "office", Binding: "booking", RequestRate: 250, Sessions: 150, WriteShare: 0.85, TransactionShare: 0.1},
			{Name: "floor", Binding: "floor", FreshnessMS: 1500, RequestRate: 110, Sessions: 80},
			{Name: "kiosk", Binding: "kiosk", FreshnessMS: 2500, RequestRate: 90, Sessions: 70, WriteShare: 0.5, TransactionShare: 0.1, SessionStateShare: 0.05},
		},
	}
}

// Chile gives the portability callers.
func Chile() Mix {
	return Mix{
		Databases: []string{"port1", "port2", "port3"}, Zones: []string{"za", "zb", "zc"},
		Roles: []Role{
			{Name: "carrier", Binding: "order", RequestRate: 250, Sessions: 150, WriteShare: 0.8, TransactionShare: 0.15},
			{Name: "switch", Binding: "owner", FreshnessMS: 1500, RequestRate: 110, Sessions: 80},
			{Name: "retail", Binding: "status", FreshnessMS: 2500, RequestRate: 90, Sessions: 70, WriteShare: 0.1, SessionStateShare: 0.05},
		},
	}
}

// Bindings gives the operator's set for a mix.
func (m Mix) Bindings() []map[string]any {
	list := []map[string]any{}
	for _, role := range m.Roles {
		for _, database := range m.Databases {
			list = append(list, map[string]any{"name": role.Binding + "-" + database, "database": database, "freshness_ms": role.FreshnessMS})
		}
	}
	return list
}

// Callers runs a mix against the doors that the platform hands out.
type Callers struct {
	platform   *Platform
	history    *History
	group      sync.WaitGroup
	cancel     context.CancelFunc
	mutex      sync.Mutex
	rateFactor float64
}

// StartCallers starts every caller of a mix.
func StartCallers(ctx context.Context, mix Mix, platform *Platform, history *History, seed uint64, scale float64) *Callers {
	ctx, cancel := context.WithCancel(ctx)
	c := &Callers{platform: platform, history: history, cancel: cancel, rateFactor: 1}
	number := uint64(0)
	for _, role := range mix.Roles {
		count := max(1, int(float64(role.Sessions)*scale))
		for index := range count {
			number++
			member := &caller{
				callers: c, role: role, name: fmt.Sprintf("%s%d", role.Name, index), database: mix.Databases[index%len(mix.Databases)],
				zone: mix.Zones[(index/len(mix.Databases))%len(mix.Zones)], random: rand.New(rand.NewPCG(seed, number)),
				thinkTime: time.Duration(float64(time.Second) * float64(count) / (role.RequestRate * scale)),
			}
			c.group.Add(1)
			go func() {
				defer c.group.Done()
				member.run(ctx)
			}()
		}
	}
	return c
}

// SetRateFactor multiplies the callers' rate.
func (c *Callers) SetRateFactor(factor float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rateFactor = factor
}

// Stop ends the callers after what they have under way.
func (c *Callers) Stop() {
	c.cancel()
	c.group.Wait()
}

type caller struct {
	callers   *Callers
	role      Role
	name      string
	database  string
	zone      string
	random    *rand.Rand
	thinkTime time.Duration

	client        *http.Client
	address       string
	session       string
	positionToken string
	requestCount  int
	setting       string
	preparedText  string
}

type sessionAnswer struct {
	Session       string          `json:"session"`
	Outcome       string          `json:"outcome"`
	Rows          json.RawMessage `json:"rows"`
	PositionToken string          `json:"mark"`
	Position      Position        `json:"position"`
	Error         string          `json:"error"`
	Closed        bool            `json:"is_closed"`
	RetryAfterMS  int64           `json:"retry_after_ms"`
	Sequence      uint64          `json:"sequence"`
}

func (c *caller) run(ctx context.Context) {
	wait(ctx, time.Duration(c.random.Float64()*float64(c.thinkTime)))
	for ctx.Err() == nil {
		if c.session == "" && !c.openSession(ctx) {
			continue
		}
		c.operate(ctx)
		c.callers.mutex.Lock()
		factor := c.callers.rateFactor
		c.callers.mutex.Unlock()
		wait(ctx, time.Duration(c.random.ExpFloat64()*float64(c.thinkTime)/factor))
	}
	if c.session != "" {
		_, _, _ = c.post("/v1/session/close", map[string]any{"session": c.session})
	}
}

func (c *caller) openSession(ctx context.Context) bool {
	address, found := c.callers.platform.ReadyProxy(c.zone)
	if !found {
		wait(ctx, time.Duration(200+c.random.IntN(200))*time.Millisecond)
		return false
	}
	c.address = address
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	c.client = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, MaxConnsPerHost: 1}}
	sent := time.Now()
	status, answer, err := c.post("/v1/session/open", map[string]any{"binding": c.role.Binding + "-" + c.database, "mark": c.positionToken})
	event := c.newEvent("open", sent, status, answer, err)
	c.callers.history.Add(event)
	if err != nil || status != http.StatusOK {
		wait(ctx, time.Duration(max(answer.RetryAfterMS, 100)+c.random.Int64N(200))*time.Millisecond)
		return false
	}
	c.session, c.setting, c.preparedText = answer.Session, "", ""
	return true
}

func (c *caller) post(path string, body map[string]any) (int, sessionAnswer, error) {
	var answer sessionAnswer
	data, _ := json.Marshal(body)
	response, err := c.client.Post("http://"+c.address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, answer, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, answer, err
	}
	err = json.Unmarshal(raw, &answer)
	return response.StatusCode, answer, err
}

func (c *caller) newEvent(kind string, sent time.Time, status int, answer sessionAnswer, err error) Event {
	event := Event{
		Caller: c.name, Session: c.session, Address: c.address, Kind: kind, Binding: c.role.Binding + "-" + c.database,
		Database: c.database, FreshnessMS: c.role.FreshnessMS, SentAt: sent.UnixNano(), AnsweredAt: time.Now().UnixNano(), Status: status,
		Outcome: answer.Outcome, Error: answer.Error, Position: answer.Position, Sequence: answer.Sequence, RetryAfterMS: answer.RetryAfterMS,
		ExpectedSetting: c.setting,
	}
	if err != nil {
		event.Error, event.Outcome = err.Error(), "cut"
	}
	var rows struct {
		Upto     Position          `json:"upto"`
		Settings map[string]string `json:"settings"`
		Text     string            `json:"text"`
	}
	if len(answer.Rows) > 0 && json.Unmarshal(answer.Rows, &rows) == nil {
		event.AppliedPosition, event.Settings, event.ExecutedText = rows.Upto, rows.Settings, rows.Text
	}
	return event
}

func (c *caller) request(kind, path string, body map[string]any) (Event, bool) {
	body["session"] = c.session
	if kind != "close" && body["deadline_ms"] == nil {
		body["deadline_ms"] = 6000
	}
	sent := time.Now()
	status, answer, err := c.post(path, body)
	event := c.newEvent(kind, sent, status, answer, err)
	event.RequestID, _ = body["go"].(string)
	event.Text, _ = body["text"].(string)
	event.DeadlineMS = 6000
	if answer.PositionToken != "" {
		c.positionToken = answer.PositionToken
	}
	open := err == nil && !answer.Closed && status != http.StatusNotFound
	if !open {
		c.session, c.setting, c.preparedText = "", "", ""
	}
	return event, open
}

func (c *caller) nextRequestID() string {
	c.requestCount++
	return fmt.Sprintf("%s.%d", c.session, c.requestCount)
}

func (c *caller) newStatement(verb string, id string) string {
	return fmt.Sprintf("%s \"%s\" by %s é\\%d", verb, id, c.name, c.random.IntN(1000))
}

func (c *caller) operate(ctx context.Context) {
	drawn := c.random.Float64()
	if c.setting == "" && c.random.Float64() < c.role.SessionStateShare {
		value := c.session
		event, open := c.request("set", "/v1/setting", map[string]any{"name": "app", "value": value})
		c.callers.history.Add(event)
		if open && event.Outcome == "done" {
			c.setting = value
		}
		if !open {
			return
		}
	}
	if c.preparedText == "" && c.random.Float64() < c.role.SessionStateShare {
		text := c.newStatement("look", c.database+" prepared")
		event, open := c.request("prepare", "/v1/prepare", map[string]any{"name": "p", "text": text})
		event.Text = ""
		c.callers.history.Add(event)
		if open && event.Outcome == "done" {
			c.preparedText = text
		}
		if !open {
			return
		}
	}
	actions := []struct {
		part float64
		act  func(context.Context)
	}{{c.role.WriteShare, c.write}, {c.role.TransactionShare, c.runTransaction}, {2, c.read}}
	for _, action := range actions {
		if drawn < action.part {
			action.act(ctx)
			return
		}
		drawn -= action.part
	}
}

func (c *caller) awaitRetry(ctx context.Context, event Event) {
	if event.RetryAfterMS > 0 {
		wait(ctx, time.Duration(event.RetryAfterMS)*time.Millisecond)
	}
}

func (c *caller) read(ctx context.Context) {
	body := map[string]any{"kind": "read", "text": c.newStatement("look", c.database)}
	prepared := c.preparedText
	usePrepared := prepared != "" && c.random.Float64() < 0.5
	if usePrepared {
		body = map[string]any{"kind": "read", "prepared": "p"}
	}
	event, _ := c.request("read", "/v1/statement", body)
	if usePrepared {
		event.Text = prepared
	}
	c.callers.history.Add(event)
	c.awaitRetry(ctx, event)
}

func (c *caller) write(ctx context.Context) {
	id := c.nextRequestID()
	text := c.newStatement("book", id)
	event, _ := c.request("write", "/v1/statement", map[string]any{"kind": "write", "text": text, "go": id})
	c.callers.history.Add(event)
	c.awaitRetry(ctx, event)
	open := event.Outcome == "unknown" || event.Outcome == "cut"
	for retry := 0; open && retry < 3 && ctx.Err() == nil; retry++ {
		if c.session == "" && !c.openSession(ctx) {
			continue
		}
		event, _ = c.request("write", "/v1/statement", map[string]any{"kind": "write", "text": text, "go": id})
		event.Retry = true
		c.callers.history.Add(event)
		c.awaitRetry(ctx, event)
		open = event.Outcome == "unknown" || event.Outcome == "cut"
	}
}

func (c *caller) runTransaction(ctx context.Context) {
	event, open := c.request("begin", "/v1/begin", map[string]any{})
	c.callers.history.Add(event)
	if !open || event.Outcome != "done" {
		c.awaitRetry(ctx, event)
		return
	}
	var requestIDs []string
	for range 1 + c.random.IntN(2) {
		id := c.nextRequestID()
		event, open = c.request("inside", "/v1/statement", map[string]any{"kind": "write", "text": c.newStatement("hold", id), "go": id})
		c.callers.history.Add(event)
		requestIDs = append(requestIDs, id)
		if !open {
			return
		}
		if event.Outcome != "done" {
			event, _ = c.request("rollback", "/v1/rollback", map[string]any{})
			c.callers.history.Add(event)
			return
		}
	}
	if c.random.Float64() < 0.1 {
		event, _ = c.request("rollback", "/v1/rollback", map[string]any{})
		event.RequestIDs = requestIDs
		c.callers.history.Add(event)
		return
	}
	event, _ = c.request("commit", "/v1/commit", map[string]any{"go": c.nextRequestID()})
	event.RequestIDs = requestIDs
	c.callers.history.Add(event)
	c.awaitRetry(ctx, event)
}
