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
	"time"
)

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

func (c *caller) awaitRetry(ctx context.Context, event Event) {
	if event.RetryAfterMS > 0 {
		wait(ctx, time.Duration(event.RetryAfterMS)*time.Millisecond)
	}
}
