package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"tansyseam.example/pooler/transport/run"
	"tansyseam.example/proof/lines"
)

const (
	sessionsOpened = 2000
	lanes          = 8
)

// reader is one client session at the real node.
type reader interface {
	read() error
	close()
}

type session struct {
	client *http.Client
	door   string
	id     string
}

func (s session) read() error {
	var told map[string]any
	return s.call(s.door, "/v1/statement", map[string]any{"session": s.id, "kind": "read", "text": "select 1"}, &told)
}

func (s session) close() { s.client.CloseIdleConnections() }

type lineSession struct{ held *lines.Session }

func (s lineSession) read() error { return s.held.Read("t1") }

func (s lineSession) close() { s.held.Close() }

func (t *Trial) openReader(number int) (reader, error) {
	binding := "use-" + databaseName(1+number%min(t.size.Databases-1, mostBindings-1))
	if t.size.IsLined {
		held, err := lines.Dial(t.places[probeName].Sessions, binding, fmt.Sprintf("u%d", number))
		return lineSession{held}, err
	}
	one := session{door: t.probe.door, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}}}
	var told struct {
		Session string `json:"session"`
	}
	err := one.call(t.probe.door, "/v1/session/open", map[string]any{"binding": binding}, &told)
	one.id = told.Session
	return one, err
}

func (s session) call(door, path string, body any, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := s.client.Post("http://"+door+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %d %s", path, response.StatusCode, raw)
	}
	return json.Unmarshal(raw, into)
}

func (t *Trial) statements() error {
	if t.probe == nil || t.size.Databases < 2 || t.size.Homes > 0 {
		return nil
	}
	if _, err := t.until(t.size.Patience, "real node ready", func() bool {
		told, isGood := t.probe.vitals()
		return isGood && told.IsReady
	}); err != nil {
		return err
	}
	before, err := t.probe.usage()
	if err != nil {
		return err
	}
	var sessions []reader
	for number := range sessionsOpened {
		one, err := t.openReader(number)
		if err != nil {
			return err
		}
		defer one.close()
		sessions = append(sessions, one)
	}
	opened, err := t.probe.usage()
	if err != nil {
		return err
	}
	var made, failed atomic.Int64
	first := make(chan error, 1)
	crew := run.NewCrew()
	for lane := range lanes {
		crew.Go(func() {
			for at := lane; !crew.IsStopping(); at += lanes {
				if err := sessions[at%len(sessions)].read(); err != nil {
					failed.Add(1)
					select {
					case first <- err:
					default:
					}
				}
				made.Add(1)
			}
		})
	}
	run.Await(make(chan struct{}), 3*time.Second)
	crew.Stop(6 * time.Second)
	after, err := t.probe.usage()
	if err != nil {
		return err
	}
	idle, _ := t.result.Role(RoleNode)
	span := after.At.Sub(opened.At).Seconds()
	busy := (after.Processor - opened.Processor).Seconds() - idle.Core*span
	note := fmt.Sprintf("%.0f statements a second, %d failed, %.0f us of a core each; %.1f KB of memory a session",
		float64(made.Load())/span, failed.Load(), busy*1e6/float64(max(made.Load(), 1)), float64(opened.Memory-before.Memory)/1000/sessionsOpened)
	if failed.Load() > 0 {
		note += ": " + (<-first).Error()
	}
	t.result.Events = append(t.result.Events, Event{Name: EventStatement, Count: failed.Load(), Note: note})
	return nil
}
