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

// Post makes a call with a JSON body at an HTTP address and returns the status
// and the body of the answer.
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

// FindControlPrimary asks control processes which of them is primary of the
// control plane; nil where none says so.
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

type faultRequest struct {
	Fault standin.Fault `json:"fault"`
}

// SetFault changes how an instance misbehaves.
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

// PutBindings sends a set of bindings to the first proxy that answers. The
// expected sequence is the one that the set is to replace.
func (f *Fleet) PutBindings(id string, expected uint64, bindings []standin.Binding) (status int, raw []byte, err error) {
	body := putRequest{ID: id, Expected: expected, Bindings: bindings}
	for _, proxy := range f.Proxies {
		if status, raw, err = f.Post(proxy.HTTPAddress, "/v1/bindings/put", body); err == nil {
			break
		}
	}
	return status, raw, err
}

// AwaitReady waits until the fleet has formed and taken its first bindings, all
// proxies are ready, and all databases are served. The timeout is for each.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	accepted := WaitUntil(timeout, func() bool {
		status, _, err := f.PutBindings("first", 0, f.Shape.Mix.Bindings())
		return err == nil && status == http.StatusOK
	})
	if !accepted {
		status, raw, err := f.PutBindings("first", 0, f.Shape.Mix.Bindings())
		return fmt.Errorf("first bindings not taken: %d %s %v", status, raw, err)
	}
	if !WaitUntil(timeout, func() bool { return f.Platform.ReadyCount() >= len(f.Proxies) }) {
		return fmt.Errorf("%d of %d proxies ready", f.Platform.ReadyCount(), len(f.Proxies))
	}
	if !WaitUntil(timeout, func() bool { return f.allServing() }) {
		return fmt.Errorf("writer roles not open")
	}
	return nil
}

// Writer is a database's writer role as a node reports it. The fields are named
// as in the report.
type Writer struct {
	Database   string
	Term       uint64
	Primary    string
	Phase      string
	Required   map[string]string
	Candidates map[string]string
	Why        string
}

// Writers asks a node for the writer roles, by database; nil where it does not
// answer.
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
	found := map[string]Writer{}
	for _, writer := range view.Writers {
		found[writer.Database] = writer
	}
	return found
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
