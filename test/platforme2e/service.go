package platforme2e

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"tansyseam/test/e2e"
	"tansyseam/test/linehistory"
	"tansyseam/test/platformstandin"
)

// CountServed counts statements answered with success, of an act, sent since.
func (t *Run) CountServed(act string, since time.Duration) int {
	count := 0
	for _, process := range t.History.Copy().Queries {
		if process.Act == act && process.Code == "" && !process.Cut && process.Sent >= since {
			count++
		}
	}
	return count
}

// AwaitService waits, for a bound, until each kind of work is served again.
func (t *Run) AwaitService(what string, timeout time.Duration) {
	since := t.group.Now()
	served := e2e.WaitUntil(timeout, func() bool {
		return t.CountServed(linehistory.ActCommit, since) >= 10 && t.CountServed(linehistory.ActWrite, since) >= 10 && t.CountServed(linehistory.ActRead, since) >= 30
	})
	if !served {
		t.Errorf("%s: reads %d, writes %d, commits %d served within %v", what, t.CountServed(linehistory.ActRead, since), t.CountServed(linehistory.ActWrite, since), t.CountServed(linehistory.ActCommit, since), timeout)
		return
	}
	t.Logf("%s: served after %d ms", what, (t.group.Now() - since).Milliseconds())
}

// ReplaceConfiguration sends a further version and waits until it is taken.
func (t *Run) ReplaceConfiguration(routes []platformstandin.Route, first int) {
	t.version += 3
	if status := t.Operator.Replace(t.version, routes, first); status != http.StatusOK {
		t.Errorf("version %d was answered %d", t.version, status)
	}
}

// ControlPrimary names the process that is control primary.
func (t *Run) ControlPrimary() *e2e.Process {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, control := range t.Controls {
		response, err := client.Post("http://"+control.HTTPAddress+"/v1/fleet", "application/json", strings.NewReader("{}"))
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		var view struct {
			Primacy bool `json:"primacy"`
		}
		if json.Unmarshal(data, &view) == nil && view.Primacy {
			return control
		}
	}
	return nil
}
