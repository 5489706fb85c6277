package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"tansyseam/test/standin"
)

// Post sends a JSON body to a path at an HTTP address and returns the status and the
// body of the response.
func (f *Fleet) Post(address, path string, body any) (int, []byte, error) {
	return postJSON(f.client, address, path, body)
}

func postJSON(client *http.Client, address, path string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, raw, err
}

// FindControlPrimary returns the first of the given control processes that reports to be
// primary of the control plane, or nil if none does.
func FindControlPrimary(client *http.Client, controls []*Process) *Process {
	for _, control := range controls {
		_, raw, err := postJSON(client, control.HTTPAddress, "/v1/fleet", struct{}{})
		var view struct {
			Primacy bool `json:"primacy"`
		}
		if err == nil && json.Unmarshal(raw, &view) == nil && view.Primacy {
			return control
		}
	}
	return nil
}

// FetchCounters returns the counters and gauges of a process by name.
func FetchCounters(client *http.Client, process *Process) (map[string]int64, error) {
	_, raw, err := postJSON(client, process.HTTPAddress, "/v1/counters", struct{}{})
	if err != nil {
		return nil, err
	}
	var view struct {
		Counters map[string]int64 `json:"counters"`
	}
	err = json.Unmarshal(raw, &view)
	return view.Counters, err
}

type faultRequest struct {
	Fault standin.Fault `json:"fault"`
}

// SetFault changes the faults of an instance.
func (f *Fleet) SetFault(instance string, fault standin.Fault) error {
	for _, process := range f.Instances {
		if process.Name == instance {
			_, _, err := f.Post(process.HTTPAddress, "/admin/fault", faultRequest{fault})
			return err
		}
	}
	return fmt.Errorf("no instance %s", instance)
}

type putRequest struct {
	ID       string            `json:"id"`
	Expected uint64            `json:"expected"`
	Bindings []standin.Binding `json:"bindings"`
}

// PutBindings sends a set of bindings to one proxy after the other until one responds.
// The expected sequence is that of the set to be replaced.
func (f *Fleet) PutBindings(id string, expected uint64, bindings []standin.Binding) (status int, raw []byte, err error) {
	body := putRequest{ID: id, Expected: expected, Bindings: bindings}
	for _, proxy := range f.Proxies {
		if status, raw, err = f.Post(proxy.HTTPAddress, "/v1/bindings/put", body); err == nil {
			break
		}
	}
	return status, raw, err
}

// AwaitReady waits until the fleet has formed and accepted its first bindings, all
// proxies are ready, and all databases are served. The timeout applies to each of
// these steps.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	bindingsAccepted := WaitUntil(timeout, func() bool {
		status, _, err := f.PutBindings("first", 0, f.Shape.Mix.Bindings())
		return err == nil && status == http.StatusOK
	})
	if !bindingsAccepted {
		status, raw, err := f.PutBindings("first", 0, f.Shape.Mix.Bindings())
		return fmt.Errorf("first bindings were not accepted: status %d: %s: %v", status, raw, err)
	}
	if !WaitUntil(timeout, func() bool { return f.Platform.ReadyCount() >= len(f.Proxies) }) {
		return fmt.Errorf("only %d of %d proxies are ready", f.Platform.ReadyCount(), len(f.Proxies))
	}
	if !WaitUntil(timeout, func() bool { return f.allServing() }) {
		return fmt.Errorf("not all writer roles are open with all their candidates")
	}
	return nil
}

// Writer is a database's writer role as a node reports it. The fields have the names
// that the report uses.
type Writer struct {
	Database   string
	Term       uint64
	Primary    string
	Phase      string
	Required   map[string]string
	Candidates map[string]string
	Why        string
}

// Writers returns the writer roles that a node reports, by database. It returns nil if
// the node does not respond.
func (f *Fleet) Writers(address string) map[string]Writer {
	_, raw, err := f.Post(address, "/v1/fleet", struct{}{})
	if err != nil {
		return nil
	}
	var view struct {
		Writers []Writer `json:"writers"`
	}
	if json.Unmarshal(raw, &view) != nil {
		return nil
	}
	byDatabase := map[string]Writer{}
	for _, writer := range view.Writers {
		byDatabase[writer.Database] = writer
	}
	return byDatabase
}

func (f *Fleet) allServing() bool {
	for _, proxy := range f.Proxies {
		writers := f.Writers(proxy.HTTPAddress)
		for _, database := range f.Shape.Databases {
			writer := writers[database]
			if writer.Phase != "open" || len(writer.Candidates) < f.Shape.InstancesPerDatabase-1 {
				return false
			}
		}
	}
	return true
}
