package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"tansyseam/test/history"
	"time"
)

func runChange(r *Run) {
	bindings := r.Shape.Mix.Bindings()
	r.Sleep(time.Second)
	r.ReplaceBindings(1)
	raceCodes := make(chan int, 2)
	for index := range 2 {
		go func() {
			code, raw, _ := r.PutBindings(fmt.Sprintf("race-%d", index), 2, bindings)
			var answer struct {
				Sequence uint64 `json:"sequence"`
			}
			_ = json.Unmarshal(raw, &answer)
			raceCodes <- code
		}()
	}
	first, second := <-raceCodes, <-raceCodes
	r.Logf("two operators on one sequence: %d and %d", first, second)
	if first+second != http.StatusOK+http.StatusConflict {
		r.Errorf("one of two racing puts must be taken and one told of the conflict: %d, %d", first, second)
	}
	r.Evidence.AcceptedSets = append(r.Evidence.AcceptedSets, history.AcceptedSet{Sequence: 3, AcknowledgedAt: time.Now().UnixNano()})
	code, raw, _ := r.PutBindings("first", 0, bindings)
	if code != http.StatusOK || !strings.Contains(string(raw), `"sequence":1`) {
		r.Errorf("a repeated call must get its first answer: %d %s", code, raw)
	}
	broken := append(append([]map[string]any(nil), bindings...), bindings[0], map[string]any{"name": "x", "database": "nowhere", "freshness_ms": 7})
	code, raw, _ = r.PutBindings("broken", 3, broken)
	if code != http.StatusUnprocessableEntity || strings.Count(string(raw), `"path"`) != 3 {
		r.Errorf("a broken set must be refused with every reason: %d %s", code, raw)
	}
	for index := range 3 {
		effectiveAt := time.Now().Add(time.Duration(1500+index*400) * time.Millisecond)
		code, raw, err := r.Post(r.Proxies[index%len(r.Proxies)].HTTPAddress, "/v1/changes/book", map[string]any{
			"id": fmt.Sprintf("book-%d", index), "at_ms": effectiveAt.UnixMilli(), "bindings": bindings,
		})
		if err != nil || code != http.StatusOK {
			r.Errorf("booking %d: %d %s %v", index, code, raw, err)
		}
		r.Evidence.AcceptedSets = append(r.Evidence.AcceptedSets, history.AcceptedSet{Sequence: uint64(4 + index), AcknowledgedAt: time.Now().UnixNano(), EffectiveAt: effectiveAt.UnixMilli() * 1e6})
	}
	active := WaitUntil(8*time.Second, func() bool {
		_, raw, err := r.Post(r.Proxies[0].HTTPAddress, "/v1/bindings/list", map[string]any{})
		return err == nil && strings.Contains(string(raw), `"sequence":6,`)
	})
	if !active {
		r.Errorf("three booked changes did not land")
	}
}
