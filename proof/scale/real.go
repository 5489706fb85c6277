package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"tansyseam.example/platform"
	"tansyseam.example/pooler/cmd/control"
	product "tansyseam.example/pooler/cmd/fleet"
	"tansyseam.example/pooler/cmd/settings"
	"tansyseam.example/pooler/state/synced"
	"tansyseam.example/pooler/state/view"
	"tansyseam.example/proof/fleet"
)

type real struct {
	name, kind, zone, link, door string
	process                      *fleet.Process
	inside                       *product.Node
}

type begin func(place settings.Settings, kind string) (*real, error)

func processes(bin, folder string) begin {
	return func(place settings.Settings, kind string) (*real, error) {
		args := []string{
			"--name", place.Name, "--zone", place.Zone, "--link", place.Link, "--door", place.Door, "--advertise-link", place.AdvertiseLink,
			"--seeds", strings.Join(place.Seeds, ","), "--log-level", "warn",
		}
		if kind == view.KindControl {
			args = append(args, "--data", place.Data, "--disks", fmt.Sprint(place.Disks), "--platform", place.Platform)
		}
		if place.Manner != "" {
			args = append(args, "--manner", place.Manner)
		}
		if place.Sessions != "" {
			args = append(args, "--sessions", place.Sessions)
		}
		made := &real{name: place.Name, kind: kind, zone: place.Zone, link: place.Link, door: place.Door}
		made.process = &fleet.Process{Name: place.Name, Program: filepath.Join(bin, kind), Args: args, Link: place.Link, Door: place.Door}
		return made, made.process.Start(folder)
	}
}

func inside() begin {
	disks := map[string]*memory{}
	return func(place settings.Settings, kind string) (*real, error) {
		if disks[place.Data] == nil {
			disks[place.Data] = &memory{files: map[string][]byte{}}
		}
		return hold(place, kind, disks[place.Data])
	}
}

func hold(place settings.Settings, kind string, disk synced.Disk) (*real, error) {
	made := &real{name: place.Name, kind: kind, zone: place.Zone, link: place.Link, door: place.Door}
	node, err := product.New(kind, place, hclog.NewNullLogger())
	if err != nil {
		return nil, err
	}
	made.inside = node
	var seams *control.Seams
	begin := func() error { return nil }
	if place.Manner == settings.MannerPlatform {
		node.Translate = platform.Translate
		orders := control.NewOrders(node.Crew, platform.Codec(), place.Name)
		seams, begin = &control.Seams{Order: orders.Give, Promote: control.Promoter(node, platform.Promote)}, orders.Start
	}
	program, err := control.OpenOn(node, place, disk, seams)
	if err != nil {
		return nil, err
	}
	if err := node.Start(); err != nil {
		return nil, err
	}
	if err := begin(); err != nil {
		return nil, err
	}
	program.Start()
	return made, nil
}

func (r *real) kill() {
	if r.process != nil {
		r.process.Kill()
		return
	}
	r.inside.Stop()
}

func (r *real) usage() (Usage, error) {
	if r.process == nil {
		return Usage{At: time.Now()}, nil
	}
	return UsageOf(r.process.Pid())
}

var caller = &http.Client{Timeout: 10 * time.Second}

func post(door, path string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	response, err := caller.Post("http://"+door+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, raw, err
}

func (r *real) counters() map[string]int64 {
	if r.inside != nil {
		return r.inside.Counts.Read()
	}
	var told struct {
		Counters map[string]int64 `json:"counters"`
	}
	_, raw, err := post(r.door, "/v1/counters", map[string]any{})
	if err != nil || json.Unmarshal(raw, &told) != nil {
		return map[string]int64{}
	}
	return told.Counters
}

type vitals struct {
	Epoch    uint64 `json:"epoch"`
	Primary  string `json:"primary"`
	Backup   string `json:"backup"`
	Sequence uint64 `json:"sequence"`
	IsReady  bool   `json:"is_ready"`
}

func (r *real) vitals() (vitals, bool) {
	var told vitals
	_, raw, err := post(r.door, "/v1/vitals", map[string]any{})
	return told, err == nil && json.Unmarshal(raw, &told) == nil
}

// Build compiles the programs that a trial starts.
func Build(root, bin string) error {
	if err := os.MkdirAll(bin, 0o755); err != nil {
		return err
	}
	if err := fleet.Build(root, bin, false); err != nil {
		return err
	}
	for _, program := range []string{view.KindControl, view.KindData} {
		if _, err := os.Stat(filepath.Join(bin, program)); err != nil {
			return fmt.Errorf("%q is not the workspace: %w", root, err)
		}
	}
	return nil
}
