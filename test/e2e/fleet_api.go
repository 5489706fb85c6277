package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"tansyseam/test/standin"
	"time"
)

// Post makes a remote call to a door.
func (f *Fleet) Post(address, path string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	response, err := f.client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, raw, err
}

// SetFault tells an instance what to do wrong.
func (f *Fleet) SetFault(instance string, fault standin.Fault) error {
	for _, process := range f.Instances {
		if process.Name == instance {
			_, _, err := f.Post(process.HTTPAddress, "/admin/fault", map[string]any{"fault": fault})
			return err
		}
	}
	return fmt.Errorf("no instance %s", instance)
}

// PutBindings puts a set, through any door that takes it.
func (f *Fleet) PutBindings(id string, expected uint64, bindings any) (int, []byte, error) {
	body := map[string]any{"id": id, "expected": expected, "bindings": bindings}
	var code int
	var raw []byte
	var err error
	for _, proxy := range f.Proxies {
		if code, raw, err = f.Post(proxy.HTTPAddress, "/v1/bindings/put", body); err == nil {
			break
		}
	}
	return code, raw, err
}

// AwaitReady waits until the fleet has formed, put its first bindings and has
// all doors ready.
func (f *Fleet) AwaitReady(timeout time.Duration) error {
	accepted := WaitUntil(timeout, func() bool {
		code, _, err := f.PutBindings("first", 0, f.Shape.Mix.Bindings())
		return err == nil && code == http.StatusOK
	})
	if !accepted {
		code, raw, err := f.PutBindings("first", 0, f.Shape.Mix.Bindings())
		return fmt.Errorf("first bindings not taken: %d %s %v", code, raw, err)
	}
	if !WaitUntil(timeout, func() bool { return f.Platform.ReadyCount() >= len(f.Proxies) }) {
		return fmt.Errorf("%d of %d doors ready", f.Platform.ReadyCount(), len(f.Proxies))
	}
	if !WaitUntil(timeout, func() bool { return f.allServing() }) {
		return fmt.Errorf("writer roles not open")
	}
	return nil
}

// Writer is a database's writer role as a node shows it.
type Writer struct {
	Database   string
	Term       uint64
	Primary    string
	Phase      string
	Required   map[string]string
	Candidates map[string]string
	Why        string
}

// Writers asks a node for the writer roles.
func (f *Fleet) Writers(address string) map[string]Writer {
	_, raw, err := f.Post(address, "/v1/fleet", map[string]any{})
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
