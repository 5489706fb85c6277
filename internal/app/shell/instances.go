package shell

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/state/model"
)

// instanceQueries are the queries on database instances, as each proxy observes them.
var instanceQueries = []query{
	{
		name: "instances", help: "instances: role, term, position, freshness, by node", maxArgs: 1,
		columns: []string{
			"node", "instance", "role", "term", "position", "heard_ms", "answered_ms", "fresh_ms", "leaving", "sessions",
		},
		run: (*Shell).instances,
	},
	{
		name: "windows", help: "admission: window, CAL and threshold of each node for each instance", maxArgs: 1,
		columns: []string{
			"node", "instance", "window", "max", "beta", "cal_ms", "threshold_ms", "open", "ghosts", "seen",
		},
		run: (*Shell).windows,
	},
}

// collectInstances returns a row for each instance that a proxy reports. If there
// is an argument, it returns only instances whose name begins with it.
func (s *Shell) collectInstances(args []string, read func(proxy, name string, item *fastjson.Value) row) (result, error) {
	return s.collect(model.KindProxy, admin.PathFleet, func(proxy nodeRef, value *fastjson.Value) []row {
		var rows []row
		for _, item := range value.GetArray("instances") {
			name := stringAt(item, "instance", "instance")
			if len(args) == 0 || strings.HasPrefix(name, args[0]) {
				rows = append(rows, read(proxy.name, name, item))
			}
		}
		return rows
	})
}

type instanceRow struct {
	AnsweredMillis int    `json:"answered_ms"`
	FreshMillis    int    `json:"fresh_ms"`
	HeardMillis    int    `json:"heard_ms"`
	Instance       string `json:"instance"`
	Leaving        bool   `json:"leaving"`
	Node           string `json:"node"`
	Position       string `json:"position"`
	Role           string `json:"role"`
	Sessions       string `json:"sessions"`
	Term           int    `json:"term"`
}

func (r instanceRow) cells() []any {
	return []any{r.Node, r.Instance, r.Role, r.Term, r.Position, r.HeardMillis, r.AnsweredMillis, r.FreshMillis, r.Leaving, r.Sessions}
}

func (s *Shell) instances(args []string) (result, error) {
	return s.collectInstances(args, func(proxy, name string, item *fastjson.Value) row {
		return instanceRow{
			AnsweredMillis: item.GetInt("answered_ms"), FreshMillis: item.GetInt("fresh_ms"), HeardMillis: item.GetInt("heard_ms"),
			Instance: name, Leaving: item.GetBool("instance", "leaving"), Node: proxy,
			Position: fmt.Sprintf("%d/%d", item.GetInt("position", "term"), item.GetInt("position", "index")),
			Role:     stringAt(item, "instance", "role"),
			Sessions: fmt.Sprintf("%d of %d", item.GetInt("sessions"), item.GetInt("share")),
			Term:     item.GetInt("instance", "term"),
		}
	})
}

type windowRow struct {
	Beta            float64 `json:"beta"`
	CALMillis       string  `json:"cal_ms"`
	Ghosts          int     `json:"ghosts"`
	Instance        string  `json:"instance"`
	Max             float64 `json:"max"`
	Node            string  `json:"node"`
	Open            int     `json:"open"`
	Seen            int     `json:"seen"`
	ThresholdMillis string  `json:"threshold_ms"`
	Window          string  `json:"window"`
}

func (r windowRow) cells() []any {
	return []any{r.Node, r.Instance, r.Window, r.Max, r.Beta, r.CALMillis, r.ThresholdMillis, r.Open, r.Ghosts, r.Seen}
}

func (s *Shell) windows(args []string) (result, error) {
	return s.collectInstances(args, func(proxy, name string, item *fastjson.Value) row {
		admission := item.Get("admission")
		return windowRow{
			Beta: admission.GetFloat64("beta"), CALMillis: formatNanos(admission.GetFloat64("cal_ns")), Ghosts: admission.GetInt("ghosts"),
			Instance: name, Max: admission.GetFloat64("max"), Node: proxy, Open: admission.GetInt("open"), Seen: admission.GetInt("seen"),
			ThresholdMillis: formatNanos(admission.GetFloat64("threshold_ns")), Window: fmt.Sprintf("%.2f", admission.GetFloat64("window")),
		}
	})
}

// formatNanos formats a duration in ns as a number of ms.
func formatNanos(nanos float64) string { return fmt.Sprintf("%.2f", nanos/float64(time.Millisecond)) }
