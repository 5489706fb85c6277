package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// caller is one client. It has at most one session at a time and is used by
// one goroutine.
type caller struct {
	callers   *Callers
	role      Role
	name      string
	database  string
	zone      string
	random    *rand.Rand
	thinkTime time.Duration

	client  *http.Client
	address string
	session string
	// positionToken is the last position token that an answer contained. The
	// caller sends it when it opens the next session, which then reads from at
	// least that position.
	positionToken string
	requestCount  int
	setting       string
	preparedText  string
}

const (
	// deadlineMS is the deadline that callers set for each call, in
	// milliseconds.
	deadlineMS = 6000
	// callTimeout is longer than the deadline, so that the proxy answers first.
	callTimeout = 15 * time.Second
	dialTimeout = 2 * time.Second
)

type openRequest struct {
	Binding       string `json:"binding"`
	PositionToken string `json:"mark"`
}

// sessionRequest is the union of the bodies of calls within a session.
type sessionRequest struct {
	Session    string `json:"session"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	Kind       string `json:"kind,omitempty"`
	Name       string `json:"name,omitempty"`
	Value      string `json:"value,omitempty"`
	Text       string `json:"text,omitempty"`
	Prepared   string `json:"prepared,omitempty"`
	RequestID  string `json:"go,omitempty"`
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
		_, _, _ = c.post("/v1/session/close", sessionRequest{Session: c.session})
	}
}

// openSession opens a session at a ready proxy over a new TCP connection. It
// reports whether the session was opened.
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
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DialContext: dialer.DialContext, MaxConnsPerHost: 1}}
	sent := time.Now()
	status, answer, err := c.post("/v1/session/open", openRequest{Binding: c.role.bindingName(c.database), PositionToken: c.positionToken})
	event := c.newEvent("open", sent, status, answer, err)
	c.callers.history.Add(event)
	if err != nil || status != http.StatusOK {
		wait(ctx, time.Duration(max(answer.RetryAfterMS, 100)+c.random.Int64N(200))*time.Millisecond)
		return false
	}
	c.session, c.setting, c.preparedText = answer.Session, "", ""
	return true
}

func (c *caller) post(path string, body any) (int, sessionAnswer, error) {
	var answer sessionAnswer
	status, err := post(c.client, c.address, path, body, &answer)
	return status, answer, err
}

func (c *caller) newEvent(kind string, sent time.Time, status int, answer sessionAnswer, err error) Event {
	event := Event{
		Caller: c.name, Session: c.session, Address: c.address, Kind: kind, Binding: c.role.bindingName(c.database),
		Database: c.database, FreshnessMS: c.role.FreshnessMS, SentAt: sent.UnixNano(), AnsweredAt: time.Now().UnixNano(), Status: status,
		Outcome: answer.Outcome, Error: answer.Error, Position: answer.Position, Sequence: answer.Sequence, RetryAfterMS: answer.RetryAfterMS,
		ExpectedSetting: c.setting,
	}
	if err != nil {
		event.Error, event.Outcome = err.Error(), outcomeCut
	}
	var rows statementRows
	if len(answer.Rows) > 0 && json.Unmarshal(answer.Rows, &rows) == nil {
		event.Settings, event.ExecutedText = rows.Settings, rows.Text
		if rows.AppliedPosition != nil {
			event.AppliedPosition = *rows.AppliedPosition
		}
	}
	return event
}

// request makes a call within the session. It returns the event, which the
// caller of the method adds to the history, and whether the session is still
// open.
func (c *caller) request(kind, path string, body sessionRequest) (Event, bool) {
	body.Session, body.DeadlineMS = c.session, deadlineMS
	sent := time.Now()
	status, answer, err := c.post(path, body)
	event := c.newEvent(kind, sent, status, answer, err)
	event.RequestID, event.Text, event.DeadlineMS = body.RequestID, body.Text, deadlineMS
	if answer.PositionToken != "" {
		c.positionToken = answer.PositionToken
	}
	open := err == nil && !answer.Closed && status != http.StatusNotFound
	if !open {
		c.session, c.setting, c.preparedText = "", "", ""
	}
	return event, open
}

// nextRequestID returns a request id that is unique among all callers.
func (c *caller) nextRequestID() string {
	c.requestCount++
	return fmt.Sprintf("%s.%d", c.session, c.requestCount)
}

// newStatement returns the text of a statement. The text contains the id, so
// that it differs from the texts of other ids, and quotes, a backslash and a
// non-ASCII letter.
func (c *caller) newStatement(verb string, id string) string {
	return fmt.Sprintf("%s \"%s\" by %s é\\%d", verb, id, c.name, c.random.IntN(1000))
}

// awaitRetry waits for the time that the answer's retry-after field asks for.
func (c *caller) awaitRetry(ctx context.Context, event Event) {
	if event.RetryAfterMS > 0 {
		wait(ctx, time.Duration(event.RetryAfterMS)*time.Millisecond)
	}
}
