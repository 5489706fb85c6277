package control

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fastjson"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// harness is a control node that is the only voter. The test steps it: none of its
// loops runs, and it sends no messages.
type harness struct {
	*Server
	// replies holds each instance's reply to commands, by instance name.
	replies map[string]CommandReply
	// status and err are the platform's response to promote calls.
	status int
	err    error

	commands   chan Command
	promotions chan adapter.Promotion
}

func testConfig(directory string) config.Config {
	return config.Config{
		Name: "c1", Zone: "z", RPCAddress: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2", AdvertiseHTTPAddress: "127.0.0.1:2",
		ControlNodes: 1, DataDir: directory, Mode: config.ModePlatform, ActivationBound: 3 * time.Second,
	}
}

func newHarness(t *testing.T, directory string) *harness {
	t.Helper()
	cfg := testConfig(directory)
	node, err := node.New(model.KindControl, cfg, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{
		replies: map[string]CommandReply{}, status: http.StatusOK,
		commands: make(chan Command, 1000), promotions: make(chan adapter.Promotion, 100),
	}
	adapters := &Adapters{
		SendCommand: func(command Command) CommandReply {
			h.commands <- command
			h.mutex.Lock()
			defer h.mutex.Unlock()
			return h.replies[command.Instance]
		},
		Promote: func(_ config.Config, promotion adapter.Promotion) (int, error) {
			h.promotions <- promotion
			return h.status, h.err
		},
	}
	if h.Server, err = Open(node, cfg, adapters); err != nil {
		t.Fatal(err)
	}
	return h
}

// runPending runs ticks and queued tasks until no task is waiting.
func (s *Server) runPending() {
	for range 3 {
		s.tick()
		for len(s.tasks) > 0 {
			(<-s.tasks)()
		}
	}
}

// finish runs the pending tasks and stops the background workers.
func (h *harness) finish() {
	h.runPending()
	h.node.Workers.Stop(5 * time.Second)
}

// call has the server execute an operator's call and returns the result.
func (h *harness) call(path, body string) message.OperatorCallResult {
	var result message.OperatorCallResult
	h.runPending()
	h.onOperatorCall(message.OperatorCall{Path: path, Body: []byte(body)}, func(reply any) { result = reply.(message.OperatorCallResult) })
	h.runPending()
	return result
}

// operate is like call, but returns the status of the result and its body parsed as
// JSON.
func (h *harness) operate(path, body string) (int, *fastjson.Value) {
	result := h.call(path, body)
	return result.Status, fastjson.MustParseBytes(result.Body)
}

func statusCommand(instance string) Command {
	return Command{Address: "x:1", Instance: instance, Name: lineproto.AdminStatus}
}

func announced(name, role string, announcementNumber uint64) model.Instance {
	return model.Instance{Name: name, Database: "db", Address: "10.0.0.1:80", Zone: "z", Role: role, SyncReplication: true, AnnouncementNumber: announcementNumber, Slots: 5}
}

func rawManifestBody(version int) string {
	return base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("as sent %d", version)))
}

func manifestOf(version int, timeout int) string {
	raw := rawManifestBody(version)
	return fmt.Sprintf(`{"version":%d,"bindings":[{"name":"b","database":"db","timeout_ms":%d}],"databases":[{"name":"db","connections":80,"synced":1}],"raw":%q}`, version, timeout, raw)
}
