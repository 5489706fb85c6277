package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"tansyseam/test/standin"
)

// runChange replaces binding sets, sends two concurrently, repeats an earlier one, sends
// an invalid one, and schedules three.
func runChange(r *Run) {
	bindings := r.Shape.Mix.Bindings()
	r.Sleep(time.Second)
	r.ReplaceBindings(1)
	r.raceSets(bindings)
	status, raw, _ := r.PutBindings("first", 0, bindings)
	if status != http.StatusOK || !strings.Contains(string(raw), `"sequence":1`) {
		r.Errorf("a repeated put did not receive its first answer: status %d: %s", status, raw)
	}
	invalid := append(slices.Clone(bindings), bindings[0], standin.Binding{Name: "x", Database: "nowhere", FreshnessMS: 7})
	status, raw, _ = r.PutBindings("broken", 3, invalid)
	if status != http.StatusUnprocessableEntity || strings.Count(string(raw), `"path"`) != 3 {
		r.Errorf("an invalid set was not refused with all three reasons: status %d: %s", status, raw)
	}
	r.scheduleSets(bindings)
}

// raceSets sends two replacements of the set with sequence 2 concurrently.
func (r *Run) raceSets(bindings []standin.Binding) {
	statuses := make(chan int, 2)
	for index := range 2 {
		go func() {
			status, _, _ := r.PutBindings(fmt.Sprintf("race-%d", index), 2, bindings)
			statuses <- status
		}()
	}
	firstStatus, secondStatus := <-statuses, <-statuses
	r.Logf("two concurrent puts on one sequence: status %d and %d", firstStatus, secondStatus)
	if firstStatus+secondStatus != http.StatusOK+http.StatusConflict {
		r.Errorf("of two concurrent puts, one must be accepted and one refused with a conflict: status %d and %d", firstStatus, secondStatus)
	}
	r.recordAcceptedSet(3, time.Time{})
}

type scheduleRequest struct {
	ID string `json:"id"`
	// AtMS is when the set takes effect, in Unix milliseconds.
	AtMS     int64             `json:"at_ms"`
	Bindings []standin.Binding `json:"bindings"`
}

// scheduleSets schedules sequences 4 to 6 and waits until they are in force.
func (r *Run) scheduleSets(bindings []standin.Binding) {
	for index := range 3 {
		effectiveAt := time.Now().Add(time.Duration(1500+index*400) * time.Millisecond)
		status, raw, err := r.Post(r.Proxies[index%len(r.Proxies)].HTTPAddress, "/v1/changes/book", scheduleRequest{
			ID: fmt.Sprintf("book-%d", index), AtMS: effectiveAt.UnixMilli(), Bindings: bindings,
		})
		if err != nil || status != http.StatusOK {
			r.Errorf("scheduling set %d: status %d: %s: %v", index, status, raw, err)
		}
		r.recordAcceptedSet(uint64(4+index), effectiveAt)
	}
	active := WaitUntil(8*time.Second, func() bool {
		_, raw, err := r.Post(r.Proxies[0].HTTPAddress, "/v1/bindings/list", struct{}{})
		return err == nil && strings.Contains(string(raw), `"sequence":6,`)
	})
	if !active {
		r.Errorf("the three scheduled sets did not take effect within 8 s")
	}
}
