package shell

import (
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fastjson"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/state/model"
)

// bindingQueries are the queries on binding sets and their scheduled changes.
var bindingQueries = []query{
	{
		name: "bindings", help: "binding sets, and the sequence in force at each node",
		columns: []string{"node", "sequence", "bindings", "state"},
		run:     (*Shell).bindings,
	},
	{
		name: "changes", help: "changes booked and not yet taken",
		columns: []string{"id", "at", "bindings"},
		run:     (*Shell).changes,
	},
}

// States of a binding set, as shown to operators.
const (
	stateInForce   = "in force"
	stateNoLease   = "old news: the node has no lease and serves nothing"
	statePending   = "being carried to all nodes"
	stateScheduled = "takes effect at "
)

type bindingSetRow struct {
	Bindings int    `json:"bindings"`
	Node     string `json:"node"`
	Sequence int    `json:"sequence"`
	State    string `json:"state"`
}

func (r bindingSetRow) cells() []any { return []any{r.Node, r.Sequence, r.Bindings, r.State} }

// bindings returns the set in force at each proxy and at the control primary, and
// the later sets that they have accepted.
func (s *Shell) bindings([]string) (result, error) {
	return s.collect("", admin.PathFleet, func(node nodeRef, value *fastjson.Value) []row {
		if node.kind == model.KindControl && !value.GetBool("primacy") {
			return nil
		}
		state := stateInForce
		if node.kind == model.KindProxy && value.GetInt("lease_ms") == 0 {
			state = stateNoLease
		}
		sets := value.Get("sets")
		active := sets.GetInt("sequence")
		rows := []row{bindingSetRow{Bindings: len(sets.GetArray("bindings")), Node: node.name, Sequence: active, State: state}}
		for _, set := range sets.GetArray("taken") {
			if sequence := set.GetInt("sequence"); sequence > active {
				rows = append(rows, bindingSetRow{
					Bindings: len(set.GetArray("bindings")), Node: node.name, Sequence: sequence, State: describeState(set.GetInt64("moment_ms")),
				})
			}
		}
		return rows
	})
}

// describeState describes when a set takes effect, given that wall time in ms since
// 1970.
func describeState(effectiveAtMillis int64) string {
	if effectiveAtMillis == 0 {
		return statePending
	}
	return stateScheduled + formatMillis(effectiveAtMillis)
}

type changeRow struct {
	EffectiveAt string `json:"at"`
	Bindings    int    `json:"bindings"`
	ID          string `json:"id"`
}

func (r changeRow) cells() []any { return []any{r.ID, r.EffectiveAt, r.Bindings} }

func (s *Shell) changes([]string) (result, error) {
	res := result{}
	value, err := s.fetch(s.Address, admin.PathListChanges)
	if err != nil {
		return res, err
	}
	if reason := stringAt(value, "error"); reason != "" {
		return res, errors.WithType(errors.New(reason), ErrUnreachable)
	}
	for _, change := range value.GetArray("changes") {
		res.rows = append(res.rows, changeRow{
			EffectiveAt: formatMillis(change.GetInt64("at_ms")), Bindings: len(change.GetArray("bindings")), ID: stringAt(change, "id"),
		})
	}
	return res, nil
}

// formatMillis formats a wall time in ms since 1970.
func formatMillis(millis int64) string { return time.UnixMilli(millis).UTC().Format(time.RFC3339Nano) }
