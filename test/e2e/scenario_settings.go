package e2e

import (
	"encoding/json"
	"os"
	"syscall"
	"time"
)

// runSettings changes a proxy's configuration file with and without a signal, and makes
// it invalid.
func runSettings(r *Run) {
	proxy := r.Proxies[0]
	write := func(text string) {
		if err := os.WriteFile(proxy.ConfigFile, []byte(text), 0o644); err != nil {
			r.Errorf("%v", err)
		}
	}
	expect := func(description string, condition func() bool) {
		if !WaitUntil(5*time.Second, condition) {
			r.Errorf("not observed within 5 s: %s", description)
		}
	}
	write(`{"weight": 2}`)
	expect("weight 2, without a signal", func() bool { return r.weight(proxy) == 2 })
	write(`{"weight": 3}`)
	proxy.Signal(syscall.SIGHUP)
	expect("weight 3, with a signal", func() bool { return r.weight(proxy) == 3 })
	write(`{"weight": "heavy", "nonsense": 1}`)
	expect("refusal of an invalid file", func() bool { return r.counter(proxy, "settings_refused") > 0 })
	if r.weight(proxy) != 3 {
		r.Errorf("an invalid file changed the settings in force")
	}
	write(`{"weight": 1, "log_json": true}`)
	expect("weight 1 again", func() bool { return r.weight(proxy) == 1 })
	expect("count of a setting that needs a restart", func() bool { return r.counter(proxy, "settings_need_restart") > 0 })
}

// counter returns a counter of a process, or -1 if the process does not respond.
func (r *Run) counter(process *Process, name string) int {
	_, raw, err := r.Post(process.HTTPAddress, "/v1/counters", struct{}{})
	var answer struct {
		Counters map[string]int `json:"counters"`
	}
	if err != nil || json.Unmarshal(raw, &answer) != nil {
		return -1
	}
	return answer.Counters[name]
}

// weight returns the weight that a proxy reports, or -1 if the proxy does not respond.
func (r *Run) weight(proxy *Process) float64 {
	_, raw, err := r.Post(proxy.HTTPAddress, "/v1/fleet", struct{}{})
	var answer struct {
		Weight float64 `json:"weight"`
	}
	if err != nil || json.Unmarshal(raw, &answer) != nil {
		return -1
	}
	return answer.Weight
}
