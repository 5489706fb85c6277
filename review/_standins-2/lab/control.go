package lab

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"
)

// Health is the state of the control plane as one control process sees it.
type Health struct {
	Backup  string `json:"backup"`
	Epoch   uint64 `json:"epoch"`
	Primary string `json:"primary"`
}

var healthClient = &http.Client{Timeout: 300 * time.Millisecond}

// Health asks a control process for its state.
func (p *Process) Health() (Health, bool) {
	response, err := healthClient.Get("http://" + p.HTTP + "/v1/vitals")
	if err != nil {
		return Health{}, false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	var health Health
	return health, err == nil && json.Unmarshal(data, &health) == nil
}

// Roles waits until the control plane has a primary and a backup, and returns them with
// the third control process.
func (l *Lab) Roles(timeout time.Duration) (primary, backup, third *Process, found bool) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		health, ok := l.newestHealth()
		if !ok || health.Primary == "" || health.Backup == "" {
			continue
		}
		for _, p := range l.Controls {
			switch p.Name {
			case health.Primary:
				primary = p
			case health.Backup:
				backup = p
			default:
				third = p
			}
		}
		return primary, backup, third, primary != nil && backup != nil && third != nil
	}
	return nil, nil, nil, false
}

func (l *Lab) newestHealth() (newest Health, found bool) {
	for _, p := range l.Controls {
		if health, ok := p.Health(); ok && (!found || health.Epoch > newest.Epoch) {
			newest, found = health, true
		}
	}
	return newest, found
}

// Log returns what the process has written to its log so far.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.log)
	return string(data)
}
