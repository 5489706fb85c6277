package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"tansyseam/test/standin"
)

// runChange replaces sets, repeats and races them, sends a broken one, and
// schedules three.
func runChange(r *Run) {
	bindings := r.Shape.Mix.Bindings()
	r.Sleep(time.Second)
	r.ReplaceBindings(1)
	r.raceSets(bindings)
	status, raw, _ := r.PutBindings("first", 0, bindings)
	if status != http.StatusOK || !strings.Contains(string(raw), `"sequence":1`) {
		r.Errorf("a repeated call must get its first answer: %d %s", status, raw)
	}
	broken := append(slices.Clone(bindings), bindings[0], standin.Binding{Name: "x", Database: "nowhere", FreshnessMS: 7})
	status, raw, _ = r.PutBindings("broken", 3, broken)
	if status != http.StatusUnprocessableEntity || strings.Count(string(raw), `"path"`) != 3 {
		r.Errorf("a broken set must be refused with every reason: %d %s", status, raw)
	}
	r.scheduleSets(bindings)
}

// raceSets has two operators replace the set of sequence 2 at once.
func (r *Run) raceSets(bindings []standin.Binding) {
	statuses := make(chan int, 2)
	for index := range 2 {
		go func() {
			status, _, _ := r.PutBindings(fmt.Sprintf("race-%d", index), 2, bindings)
			statuses <- status
		}()
	}
	first, second := <-statuses, <-statuses
	r.Logf("two operators on one sequence: %d and %d", first, second)
	if first+second != http.StatusOK+http.StatusConflict {
		r.Errorf("one of two racing puts must be taken and one told of the conflict: %d, %d", first, second)
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
			r.Errorf("booking %d: %d %s %v", index, status, raw, err)
		}
		r.recordAcceptedSet(uint64(4+index), effectiveAt)
	}
	active := WaitUntil(8*time.Second, func() bool {
		_, raw, err := r.Post(r.Proxies[0].HTTPAddress, "/v1/bindings/list", struct{}{})
		return err == nil && strings.Contains(string(raw), `"sequence":6,`)
	})
	if !active {
		r.Errorf("three scheduled changes did not take effect")
	}
}
