package shell

import (
	"github.com/valyala/fastjson"

	"tansyseam/internal/app/admin"
)

// pathCounters is the path of the call that returns a node's counters.
const pathCounters = "/v1/counters"

// nodeQueries are the queries on the nodes themselves.
var nodeQueries = []query{
	{
		name: "nodes", help: "every node as the asked node holds it",
		columns: []string{"node", "kind", "zone", "standing", "silent_ms", "weight", "version", "door"},
		run:     (*Shell).nodes,
	},
	{
		name: "vitals", help: "whether each node serves, and why not",
		columns: []string{"node", "kind", "ready", "epoch", "sequence", "lease_ms", "sessions", "why"},
		run:     (*Shell).health,
	},
	{
		name: "counters", help: "counters NODE: a node's counters", maxArgs: 1,
		columns: []string{"counter", "count"},
		run:     (*Shell).counters,
	},
}

type nodeRow struct {
	Address      string  `json:"door"`
	Kind         string  `json:"kind"`
	Node         string  `json:"node"`
	SilentMillis int     `json:"silent_ms"`
	Status       string  `json:"standing"`
	Version      int     `json:"version"`
	Weight       float64 `json:"weight"`
	Zone         string  `json:"zone"`
}

func (r nodeRow) cells() []any {
	return []any{r.Node, r.Kind, r.Zone, r.Status, r.SilentMillis, r.Weight, r.Version, r.Address}
}

func (s *Shell) nodes([]string) (result, error) {
	res := result{}
	value, err := s.fetch(s.Address, admin.PathFleet)
	if err != nil {
		return res, err
	}
	for _, node := range value.GetArray("nodes") {
		res.rows = append(res.rows, nodeRow{
			Address: stringAt(node, "door"), Kind: stringAt(node, "kind"), Node: stringAt(node, "node"), SilentMillis: node.GetInt("silent_ms"),
			Status: stringAt(node, "standing"), Version: node.GetInt("version"), Weight: node.GetFloat64("weight"), Zone: stringAt(node, "zone"),
		})
	}
	return res, nil
}

type healthRow struct {
	Epoch       int    `json:"epoch"`
	Kind        string `json:"kind"`
	LeaseMillis int    `json:"lease_ms"`
	Node        string `json:"node"`
	Ready       bool   `json:"ready"`
	Sequence    int    `json:"sequence"`
	Sessions    int    `json:"sessions"`
	Reason      string `json:"why"`
}

func (r healthRow) cells() []any {
	return []any{r.Node, r.Kind, r.Ready, r.Epoch, r.Sequence, r.LeaseMillis, r.Sessions, r.Reason}
}

func (s *Shell) health([]string) (result, error) {
	return s.collect("", admin.PathHealth, func(node nodeRef, value *fastjson.Value) []row {
		return []row{healthRow{
			Epoch: value.GetInt("epoch"), Kind: node.kind, LeaseMillis: value.GetInt("lease_ms"), Node: node.name, Ready: value.GetBool("is_ready"),
			Sequence: value.GetInt("sequence"), Sessions: value.GetInt("sessions"), Reason: stringAt(value, "why"),
		}}
	})
}

type counterRow struct {
	Count   int64  `json:"count"`
	Counter string `json:"counter"`
}

func (r counterRow) cells() []any { return []any{r.Counter, r.Count} }

// counters returns the counters of the named node, or without an argument those of
// the first node.
func (s *Shell) counters(args []string) (result, error) {
	res := result{}
	address, err := s.addressOf(args)
	if err != nil {
		return res, err
	}
	value, err := s.fetch(address, pathCounters)
	if err != nil {
		return res, err
	}
	var counters []counterRow
	value.GetObject("counters").Visit(func(key []byte, count *fastjson.Value) {
		counters = append(counters, counterRow{Count: count.GetInt64(), Counter: string(key)})
	})
	res.rows = sortedRows(counters, func(r counterRow) string { return r.Counter })
	return res, nil
}

func (s *Shell) addressOf(args []string) (string, error) {
	if len(args) == 0 {
		return s.Address, nil
	}
	nodes, err := s.listNodes()
	if err != nil {
		return "", err
	}
	for _, node := range nodes {
		if node.name == args[0] {
			return node.address, nil
		}
	}
	return "", badQuery("no node %q is known", args[0])
}
