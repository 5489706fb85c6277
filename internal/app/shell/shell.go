// Package shell answers queries on the fleet's state by asking its nodes.
package shell

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fastjson"

	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/worker"
)

// Errors of the shell.
const (
	ErrBadQuery    = errors.ConstError("bad query")
	ErrUnreachable = errors.ConstError("a node could not be reached")
)

// Ask makes a remote call to a door.
type Requester func(address, path string) ([]byte, error)

// Shell asks by way of one door, and from there any node of the fleet.
type Shell struct {
	Address string
	JSON    bool
	Out     io.Writer
	request Requester
}

// New makes a shell that asks over HTTP.
func New(address string, asJSON bool, out io.Writer, crew *worker.Group) (*Shell, error) {
	client, err := httpserver.NewClient("", crew)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return NewWithRequester(address, asJSON, out, func(address, path string) ([]byte, error) {
		session, err := client.Dial(address, 2*time.Second, nil)
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer session.Close()
		answer := session.Post(path, []byte("{}"), 3*time.Second)
		return answer.Body, errors.Trace(answer.Err)
	}), nil
}

// NewWith makes a shell with another way of asking.
func NewWithRequester(address string, asJSON bool, out io.Writer, ask Requester) *Shell {
	return &Shell{Address: address, JSON: asJSON, Out: out, request: ask}
}

type row map[string]any

type result struct {
	columns     []string
	rows        []row
	unreachable []string
}

type query struct {
	help    string
	maxArgs int
	run     func(s *Shell, args []string) (result, error)
}

var queries map[string]query

func init() {
	queries = map[string]query{
		"nodes":     {"every node as the asked node holds it", 0, (*Shell).nodes},
		"vitals":    {"whether each node serves, and why not", 0, (*Shell).health},
		"instances": {"instances: role, term, position, freshness, by node", 1, (*Shell).instances},
		"windows":   {"admission: window, CAL and threshold of each node for each instance", 1, (*Shell).windows},
		"bindings":  {"binding sets, and the sequence in force at each node", 0, (*Shell).bindings},
		"changes":   {"changes booked and not yet taken", 0, (*Shell).changes},
		"epochs":    {"the control plane: epoch, primary, backup, as each control node knows them", 0, (*Shell).epochs},
		"duties":    {"duties and who holds them", 0, (*Shell).singletons},
		"leases":    {"leases given out by the control primary", 0, (*Shell).leases},
		"writers":   {"the writer role of each database", 0, (*Shell).writers},
		"why":       {"why SUBJECT: what the fleet did about a database, 'bindings' or 'control', with the evidence", 1, (*Shell).history},
		"counters":  {"counters NODE: a node's counters", 1, (*Shell).counters},
		"help":      {"this list", 0, (*Shell).help},
	}
}

// Names lists the queries.
func QueryNames() []string {
	var names []string
	for name := range queries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Run answers one query.
func (s *Shell) Run(line string) error {
	args := strings.Fields(line)
	if len(args) == 0 {
		return nil
	}
	asked, known := queries[args[0]]
	if !known {
		return errors.WithType(errors.Errorf("no query %q; there are: %s", args[0], strings.Join(QueryNames(), ", ")), ErrBadQuery)
	}
	if len(args)-1 > asked.maxArgs {
		return errors.WithType(errors.Errorf("%q takes at most %d words, got %d: %s", args[0], asked.maxArgs, len(args)-1, asked.help), ErrBadQuery)
	}
	found, err := asked.run(s, args[1:])
	if err != nil {
		return err
	}
	s.render(found)
	if len(found.unreachable) > 0 {
		return errors.WithType(errors.Errorf("not reached: %s", strings.Join(found.unreachable, "; ")), ErrUnreachable)
	}
	return nil
}

// Talk answers the lines of a reader until it ends or says quit; it gives
// the last error, if there was one.
func (s *Shell) RunInteractive(in io.Reader) error {
	var last error
	lines := bufio.NewScanner(in)
	_, _ = fmt.Fprint(s.Out, "tansyseamctl> ")
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "quit" || line == "exit" {
			return last
		}
		if last = s.Run(line); last != nil {
			_, _ = fmt.Fprintln(s.Out, last)
		}
		_, _ = fmt.Fprint(s.Out, "tansyseamctl> ")
	}
	_, _ = fmt.Fprintln(s.Out)
	return last
}

func (s *Shell) render(found result) {
	if s.JSON {
		data, _ := json.MarshalIndent(map[string]any{"rows": found.rows, "not_reached": found.unreachable}, "", "  ")
		_, _ = fmt.Fprintln(s.Out, string(data))
		return
	}
	table := tabwriter.NewWriter(s.Out, 2, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.ToUpper(strings.Join(found.columns, "\t")))
	for _, line := range found.rows {
		cells := make([]string, len(found.columns))
		for at, column := range found.columns {
			cells[at] = fmt.Sprint(line[column])
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	_ = table.Flush()
}

func (s *Shell) fetch(address, path string) (*fastjson.Value, error) {
	data, err := s.request(address, path)
	if err != nil {
		return nil, errors.WithType(errors.Errorf("%s: %v", address, err), ErrUnreachable)
	}
	value, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, errors.WithType(errors.Errorf("%s answered no JSON", address), ErrUnreachable)
	}
	return value, nil
}

func stringAt(value *fastjson.Value, keys ...string) string {
	return string(value.GetStringBytes(keys...))
}

type nodeRef struct {
	name, kind, address, status string
}

func (s *Shell) listNodes() ([]nodeRef, *fastjson.Value, error) {
	value, err := s.fetch(s.Address, "/v1/fleet")
	if err != nil {
		return nil, nil, err
	}
	var list []nodeRef
	for _, node := range value.GetArray("nodes") {
		list = append(list, nodeRef{stringAt(node, "node"), stringAt(node, "kind"), stringAt(node, "door"), stringAt(node, "standing")})
	}
	return list, value, nil
}

func (s *Shell) collect(kind, path string, act func(nodeRef, *fastjson.Value) []row) (result, error) {
	found := result{}
	list, _, err := s.listNodes()
	if err != nil {
		return found, err
	}
	for _, node := range list {
		if kind != "" && node.kind != kind {
			continue
		}
		if node.status != "live" {
			found.unreachable = append(found.unreachable, node.name+" is "+node.status)
			continue
		}
		value, err := s.fetch(node.address, path)
		if err != nil {
			found.unreachable = append(found.unreachable, node.name+": "+err.Error())
			continue
		}
		found.rows = append(found.rows, act(node, value)...)
	}
	return found, nil
}

func (s *Shell) nodes([]string) (result, error) {
	found := result{columns: []string{"node", "kind", "zone", "standing", "silent_ms", "weight", "version", "door"}}
	_, value, err := s.listNodes()
	if err != nil {
		return found, err
	}
	for _, node := range value.GetArray("nodes") {
		found.rows = append(found.rows, row{
			"node": stringAt(node, "node"), "kind": stringAt(node, "kind"), "zone": stringAt(node, "zone"), "standing": stringAt(node, "standing"),
			"silent_ms": node.GetInt("silent_ms"), "weight": node.GetFloat64("weight"), "version": node.GetInt("version"), "door": stringAt(node, "door"),
		})
	}
	return found, nil
}

func (s *Shell) health([]string) (result, error) {
	found, err := s.collect("", "/v1/vitals", func(node nodeRef, value *fastjson.Value) []row {
		return []row{{
			"node": node.name, "kind": node.kind, "ready": value.GetBool("is_ready"), "why": stringAt(value, "why"),
			"epoch": value.GetInt("epoch"), "sequence": value.GetInt("sequence"), "sessions": value.GetInt("sessions"), "lease_ms": value.GetInt("lease_ms"),
		}}
	})
	found.columns = []string{"node", "kind", "ready", "epoch", "sequence", "lease_ms", "sessions", "why"}
	return found, err
}

func matchesPrefix(args []string, name string) bool {
	return len(args) == 0 || strings.HasPrefix(name, args[0])
}

func (s *Shell) instances(args []string) (result, error) {
	found, err := s.collect("seamd", "/v1/fleet", func(node nodeRef, value *fastjson.Value) []row {
		var rows []row
		for _, item := range value.GetArray("instances") {
			name := stringAt(item, "instance", "instance")
			if !matchesPrefix(args, name) {
				continue
			}
			rows = append(rows, row{
				"node": node.name, "instance": name, "role": stringAt(item, "instance", "role"), "term": item.GetInt("instance", "term"),
				"position": fmt.Sprintf("%d/%d", item.GetInt("position", "term"), item.GetInt("position", "index")),
				"heard_ms": item.GetInt("heard_ms"), "answered_ms": item.GetInt("answered_ms"), "fresh_ms": item.GetInt("fresh_ms"),
				"leaving": item.GetBool("instance", "leaving"), "sessions": fmt.Sprintf("%d of %d", item.GetInt("sessions"), item.GetInt("share")),
			})
		}
		return rows
	})
	found.columns = []string{"node", "instance", "role", "term", "position", "heard_ms", "answered_ms", "fresh_ms", "leaving", "sessions"}
	return found, err
}

func (s *Shell) windows(args []string) (result, error) {
	found, err := s.collect("seamd", "/v1/fleet", func(node nodeRef, value *fastjson.Value) []row {
		var rows []row
		for _, item := range value.GetArray("instances") {
			name := stringAt(item, "instance", "instance")
			if !matchesPrefix(args, name) {
				continue
			}
			admission := item.Get("admission")
			ms := func(key string) string { return fmt.Sprintf("%.2f", admission.GetFloat64(key)/1e6) }
			rows = append(rows, row{
				"node": node.name, "instance": name, "window": fmt.Sprintf("%.2f", admission.GetFloat64("window")), "cal_ms": ms("cal_ns"),
				"threshold_ms": ms("threshold_ns"), "open": admission.GetInt("open"), "ghosts": admission.GetInt("ghosts"),
				"beta": admission.GetFloat64("beta"), "max": admission.GetFloat64("max"), "seen": admission.GetInt("seen"),
			})
		}
		return rows
	})
	found.columns = []string{"node", "instance", "window", "max", "beta", "cal_ms", "threshold_ms", "open", "ghosts", "seen"}
	return found, err
}

func (s *Shell) bindings([]string) (result, error) {
	found, err := s.collect("", "/v1/fleet", func(node nodeRef, value *fastjson.Value) []row {
		sets := value.Get("sets")
		inForce := "in force"
		if node.kind == "seamd" && value.GetInt("lease_ms") == 0 {
			inForce = "old news: the node has no lease and serves nothing"
		}
		if node.kind == "seamc" && !value.GetBool("primacy") {
			return nil
		}
		rows := []row{{"node": node.name, "sequence": sets.GetInt("sequence"), "bindings": len(sets.GetArray("bindings")), "state": inForce}}
		for _, set := range sets.GetArray("taken") {
			if set.GetInt("sequence") <= sets.GetInt("sequence") {
				continue
			}
			state := "being carried to all nodes"
			if moment := set.GetInt64("moment_ms"); moment != 0 {
				state = "takes effect at " + time.UnixMilli(moment).UTC().Format(time.RFC3339Nano)
			}
			rows = append(rows, row{"node": node.name, "sequence": set.GetInt("sequence"), "bindings": len(set.GetArray("bindings")), "state": state})
		}
		return rows
	})
	found.columns = []string{"node", "sequence", "bindings", "state"}
	return found, err
}

func (s *Shell) changes([]string) (result, error) {
	found := result{columns: []string{"id", "at", "bindings"}}
	value, err := s.fetch(s.Address, "/v1/changes/list")
	if err != nil {
		return found, err
	}
	if reason := stringAt(value, "error"); reason != "" {
		return found, errors.WithType(errors.New(reason), ErrUnreachable)
	}
	for _, change := range value.GetArray("changes") {
		found.rows = append(found.rows, row{
			"id": stringAt(change, "id"), "at": time.UnixMilli(change.GetInt64("at_ms")).UTC().Format(time.RFC3339Nano), "bindings": len(change.GetArray("bindings")),
		})
	}
	return found, nil
}

func (s *Shell) epochs([]string) (result, error) {
	found, err := s.collect("seamc", "/v1/fleet", func(node nodeRef, value *fastjson.Value) []row {
		return []row{{
			"node": node.name, "epoch": value.GetInt("epoch", "epoch"), "primary": stringAt(value, "epoch", "primary"), "backup": stringAt(value, "epoch", "backup"),
			"holds_primacy": value.GetBool("primacy"), "state": fmt.Sprintf("%d/%d", value.GetInt("stamp", "epoch"), value.GetInt("stamp", "sequence")),
		}}
	})
	found.columns = []string{"node", "epoch", "primary", "backup", "holds_primacy", "state"}
	return found, err
}

func (s *Shell) singletons([]string) (result, error) {
	found, err := s.collect("seamc", "/v1/fleet", func(node nodeRef, value *fastjson.Value) []row {
		var rows []row
		for _, duty := range value.GetArray("duties") {
			if duty.GetBool("is_held") {
				rows = append(rows, row{"duty": stringAt(duty, "duty"), "held_by": node.name})
			}
		}
		return rows
	})
	found.columns = []string{"duty", "held_by"}
	return found, err
}

func (s *Shell) fetchFromPrimary() (*fastjson.Value, string, error) {
	list, _, err := s.listNodes()
	if err != nil {
		return nil, "", err
	}
	var unreachable []string
	for _, node := range list {
		if node.kind != "seamc" {
			continue
		}
		value, err := s.fetch(node.address, "/v1/fleet")
		if err != nil {
			unreachable = append(unreachable, node.name)
			continue
		}
		if value.GetBool("primacy") {
			return value, node.name, nil
		}
	}
	return nil, "", errors.WithType(errors.Errorf("no control machine that was reached holds primacy (not reached: %s)", strings.Join(unreachable, ", ")), ErrUnreachable)
}

func (s *Shell) leases([]string) (result, error) {
	found := result{columns: []string{"node", "has_taken_up", "shows"}}
	value, _, err := s.fetchFromPrimary()
	if err != nil {
		return found, err
	}
	for _, lease := range value.GetArray("leases") {
		found.rows = append(found.rows, row{
			"node": stringAt(lease, "node"), "has_taken_up": fmt.Sprintf("%d/%d", lease.GetInt("epoch"), lease.GetInt("sequence")), "shows": lease.GetInt("shows"),
		})
	}
	slices.SortFunc(found.rows, func(a, b row) int { return strings.Compare(fmt.Sprint(a["node"]), fmt.Sprint(b["node"])) })
	return found, nil
}

func sortedKeys(value *fastjson.Value, key string) string {
	var list []string
	if object := value.GetObject(key); object != nil {
		object.Visit(func(name []byte, _ *fastjson.Value) { list = append(list, string(name)) })
	}
	slices.Sort(list)
	return strings.Join(list, ",")
}

func (s *Shell) writers([]string) (result, error) {
	found := result{columns: []string{"database", "term", "primary", "phase", "commits_wait_for", "may_be_promoted", "why"}}
	value, _, err := s.fetchFromPrimary()
	if err != nil {
		return found, err
	}
	for _, writer := range value.GetArray("writers") {
		found.rows = append(found.rows, row{
			"database": stringAt(writer, "Database"), "term": writer.GetInt("Term"), "primary": stringAt(writer, "Primary"), "phase": stringAt(writer, "Phase"),
			"commits_wait_for": sortedKeys(writer, "Required"), "may_be_promoted": sortedKeys(writer, "Candidates"), "why": stringAt(writer, "Why"),
		})
	}
	return found, nil
}

func (s *Shell) history(args []string) (result, error) {
	found := result{columns: []string{"at", "subject", "what", "evidence"}}
	value, _, err := s.fetchFromPrimary()
	if err != nil {
		return found, err
	}
	for _, entry := range value.GetArray("entries") {
		subject := stringAt(entry, "subject")
		if len(args) > 0 && subject != args[0] && subject != "database "+args[0] {
			continue
		}
		found.rows = append(found.rows, row{
			"at": time.Unix(0, entry.GetInt64("at")).UTC().Format("15:04:05.000"), "subject": subject, "what": stringAt(entry, "what"), "evidence": stringAt(entry, "evidence"),
		})
	}
	if len(args) > 0 && len(found.rows) == 0 {
		return found, errors.WithType(errors.Errorf("nothing is on record about %q", args[0]), ErrBadQuery)
	}
	return found, nil
}

func (s *Shell) counters(args []string) (result, error) {
	found := result{columns: []string{"counter", "count"}}
	address := s.Address
	if len(args) == 1 {
		list, _, err := s.listNodes()
		if err != nil {
			return found, err
		}
		at := slices.IndexFunc(list, func(node nodeRef) bool { return node.name == args[0] })
		if at < 0 {
			return found, errors.WithType(errors.Errorf("no node %q is known", args[0]), ErrBadQuery)
		}
		address = list[at].address
	}
	value, err := s.fetch(address, "/v1/counters")
	if err != nil {
		return found, err
	}
	value.GetObject("counters").Visit(func(key []byte, count *fastjson.Value) {
		found.rows = append(found.rows, row{"counter": string(key), "count": count.GetInt64()})
	})
	slices.SortFunc(found.rows, func(a, b row) int { return strings.Compare(a["counter"].(string), b["counter"].(string)) })
	return found, nil
}

func (s *Shell) help([]string) (result, error) {
	found := result{columns: []string{"query", "answers"}}
	for _, name := range QueryNames() {
		found.rows = append(found.rows, row{"query": name, "answers": queries[name].help})
	}
	return found, nil
}
