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
	ErrQuery   = errors.ConstError("bad query")
	ErrReached = errors.ConstError("a node could not be reached")
)

// Ask makes a remote call to a door.
type Ask func(door, path string) ([]byte, error)

// Shell asks by way of one door, and from there any node of the fleet.
type Shell struct {
	Door   string
	IsJSON bool
	Out    io.Writer
	ask    Ask
}

// New makes a shell that asks over HTTP.
func New(door string, isJSON bool, out io.Writer, crew *worker.Crew) (*Shell, error) {
	client, err := httpserver.NewClient("", crew)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return NewWith(door, isJSON, out, func(door, path string) ([]byte, error) {
		session, err := client.Dial(door, 2*time.Second, nil)
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer session.Close()
		answer := session.Ask(path, []byte("{}"), 3*time.Second)
		return answer.Body, errors.Trace(answer.Err)
	}), nil
}

// NewWith makes a shell with another way of asking.
func NewWith(door string, isJSON bool, out io.Writer, ask Ask) *Shell {
	return &Shell{Door: door, IsJSON: isJSON, Out: out, ask: ask}
}

type row map[string]any

type answer struct {
	columns   []string
	rows      []row
	unreached []string
}

type query struct {
	help string
	most int
	run  func(s *Shell, words []string) (answer, error)
}

var queries map[string]query

func init() {
	queries = map[string]query{
		"nodes":     {"every node as the asked node holds it", 0, (*Shell).nodes},
		"vitals":    {"whether each node serves, and why not", 0, (*Shell).vitals},
		"instances": {"instances: role, term, position, freshness, by node", 1, (*Shell).instances},
		"windows":   {"admission: window, CAL and threshold of each node for each instance", 1, (*Shell).windows},
		"bindings":  {"binding sets, and the sequence in force at each node", 0, (*Shell).bindings},
		"changes":   {"changes booked and not yet taken", 0, (*Shell).changes},
		"epochs":    {"the control plane: epoch, primary, backup, as each control node knows them", 0, (*Shell).epochs},
		"duties":    {"duties and who holds them", 0, (*Shell).duties},
		"leases":    {"leases given out by the control primary", 0, (*Shell).leases},
		"writers":   {"the writer role of each database", 0, (*Shell).writers},
		"why":       {"why SUBJECT: what the fleet did about a database, 'bindings' or 'control', with the evidence", 1, (*Shell).why},
		"counters":  {"counters NODE: a node's counters", 1, (*Shell).counters},
		"help":      {"this list", 0, (*Shell).help},
	}
}

// Names lists the queries.
func Names() []string {
	var names []string
	for name := range queries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Run answers one query.
func (s *Shell) Run(line string) error {
	words := strings.Fields(line)
	if len(words) == 0 {
		return nil
	}
	asked, isKnown := queries[words[0]]
	if !isKnown {
		return errors.WithType(errors.Errorf("no query %q; there are: %s", words[0], strings.Join(Names(), ", ")), ErrQuery)
	}
	if len(words)-1 > asked.most {
		return errors.WithType(errors.Errorf("%q takes at most %d words, got %d: %s", words[0], asked.most, len(words)-1, asked.help), ErrQuery)
	}
	found, err := asked.run(s, words[1:])
	if err != nil {
		return err
	}
	s.show(found)
	if len(found.unreached) > 0 {
		return errors.WithType(errors.Errorf("not reached: %s", strings.Join(found.unreached, "; ")), ErrReached)
	}
	return nil
}

// Talk answers the lines of a reader until it ends or says quit; it gives
// the last error, if there was one.
func (s *Shell) Talk(in io.Reader) error {
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

func (s *Shell) show(found answer) {
	if s.IsJSON {
		data, _ := json.MarshalIndent(map[string]any{"rows": found.rows, "not_reached": found.unreached}, "", "  ")
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

func (s *Shell) get(door, path string) (*fastjson.Value, error) {
	data, err := s.ask(door, path)
	if err != nil {
		return nil, errors.WithType(errors.Errorf("%s: %v", door, err), ErrReached)
	}
	value, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, errors.WithType(errors.Errorf("%s answered no JSON", door), ErrReached)
	}
	return value, nil
}

func text(value *fastjson.Value, keys ...string) string {
	return string(value.GetStringBytes(keys...))
}

type place struct {
	name, kind, door, standing string
}

func (s *Shell) places() ([]place, *fastjson.Value, error) {
	value, err := s.get(s.Door, "/v1/fleet")
	if err != nil {
		return nil, nil, err
	}
	var list []place
	for _, node := range value.GetArray("nodes") {
		list = append(list, place{text(node, "node"), text(node, "kind"), text(node, "door"), text(node, "standing")})
	}
	return list, value, nil
}

func (s *Shell) each(kind, path string, act func(place, *fastjson.Value) []row) (answer, error) {
	found := answer{}
	list, _, err := s.places()
	if err != nil {
		return found, err
	}
	for _, one := range list {
		if kind != "" && one.kind != kind {
			continue
		}
		if one.standing != "live" {
			found.unreached = append(found.unreached, one.name+" is "+one.standing)
			continue
		}
		value, err := s.get(one.door, path)
		if err != nil {
			found.unreached = append(found.unreached, one.name+": "+err.Error())
			continue
		}
		found.rows = append(found.rows, act(one, value)...)
	}
	return found, nil
}

func (s *Shell) nodes([]string) (answer, error) {
	found := answer{columns: []string{"node", "kind", "zone", "standing", "silent_ms", "weight", "version", "door"}}
	_, value, err := s.places()
	if err != nil {
		return found, err
	}
	for _, node := range value.GetArray("nodes") {
		found.rows = append(found.rows, row{
			"node": text(node, "node"), "kind": text(node, "kind"), "zone": text(node, "zone"), "standing": text(node, "standing"),
			"silent_ms": node.GetInt("silent_ms"), "weight": node.GetFloat64("weight"), "version": node.GetInt("version"), "door": text(node, "door"),
		})
	}
	return found, nil
}

func (s *Shell) vitals([]string) (answer, error) {
	found, err := s.each("", "/v1/vitals", func(one place, value *fastjson.Value) []row {
		return []row{{
			"node": one.name, "kind": one.kind, "ready": value.GetBool("is_ready"), "why": text(value, "why"),
			"epoch": value.GetInt("epoch"), "sequence": value.GetInt("sequence"), "sessions": value.GetInt("sessions"), "lease_ms": value.GetInt("lease_ms"),
		}}
	})
	found.columns = []string{"node", "kind", "ready", "epoch", "sequence", "lease_ms", "sessions", "why"}
	return found, err
}

func isWanted(words []string, name string) bool {
	return len(words) == 0 || strings.HasPrefix(name, words[0])
}

func (s *Shell) instances(words []string) (answer, error) {
	found, err := s.each("seamd", "/v1/fleet", func(one place, value *fastjson.Value) []row {
		var rows []row
		for _, item := range value.GetArray("instances") {
			name := text(item, "instance", "instance")
			if !isWanted(words, name) {
				continue
			}
			rows = append(rows, row{
				"node": one.name, "instance": name, "role": text(item, "instance", "role"), "term": item.GetInt("instance", "term"),
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

func (s *Shell) windows(words []string) (answer, error) {
	found, err := s.each("seamd", "/v1/fleet", func(one place, value *fastjson.Value) []row {
		var rows []row
		for _, item := range value.GetArray("instances") {
			name := text(item, "instance", "instance")
			if !isWanted(words, name) {
				continue
			}
			admission := item.Get("admission")
			ms := func(key string) string { return fmt.Sprintf("%.2f", admission.GetFloat64(key)/1e6) }
			rows = append(rows, row{
				"node": one.name, "instance": name, "window": fmt.Sprintf("%.2f", admission.GetFloat64("window")), "cal_ms": ms("cal_ns"),
				"threshold_ms": ms("threshold_ns"), "open": admission.GetInt("open"), "ghosts": admission.GetInt("ghosts"),
				"beta": admission.GetFloat64("beta"), "max": admission.GetFloat64("max"), "seen": admission.GetInt("seen"),
			})
		}
		return rows
	})
	found.columns = []string{"node", "instance", "window", "max", "beta", "cal_ms", "threshold_ms", "open", "ghosts", "seen"}
	return found, err
}

func (s *Shell) bindings([]string) (answer, error) {
	found, err := s.each("", "/v1/fleet", func(one place, value *fastjson.Value) []row {
		sets := value.Get("sets")
		inForce := "in force"
		if one.kind == "seamd" && value.GetInt("lease_ms") == 0 {
			inForce = "old news: the node has no lease and serves nothing"
		}
		if one.kind == "seamc" && !value.GetBool("primacy") {
			return nil
		}
		rows := []row{{"node": one.name, "sequence": sets.GetInt("sequence"), "bindings": len(sets.GetArray("bindings")), "state": inForce}}
		for _, set := range sets.GetArray("taken") {
			if set.GetInt("sequence") <= sets.GetInt("sequence") {
				continue
			}
			state := "being carried to all nodes"
			if moment := set.GetInt64("moment_ms"); moment != 0 {
				state = "takes effect at " + time.UnixMilli(moment).UTC().Format(time.RFC3339Nano)
			}
			rows = append(rows, row{"node": one.name, "sequence": set.GetInt("sequence"), "bindings": len(set.GetArray("bindings")), "state": state})
		}
		return rows
	})
	found.columns = []string{"node", "sequence", "bindings", "state"}
	return found, err
}

func (s *Shell) changes([]string) (answer, error) {
	found := answer{columns: []string{"id", "at", "bindings"}}
	value, err := s.get(s.Door, "/v1/changes/list")
	if err != nil {
		return found, err
	}
	if reason := text(value, "error"); reason != "" {
		return found, errors.WithType(errors.New(reason), ErrReached)
	}
	for _, change := range value.GetArray("changes") {
		found.rows = append(found.rows, row{
			"id": text(change, "id"), "at": time.UnixMilli(change.GetInt64("at_ms")).UTC().Format(time.RFC3339Nano), "bindings": len(change.GetArray("bindings")),
		})
	}
	return found, nil
}

func (s *Shell) epochs([]string) (answer, error) {
	found, err := s.each("seamc", "/v1/fleet", func(one place, value *fastjson.Value) []row {
		return []row{{
			"node": one.name, "epoch": value.GetInt("epoch", "epoch"), "primary": text(value, "epoch", "primary"), "backup": text(value, "epoch", "backup"),
			"holds_primacy": value.GetBool("primacy"), "state": fmt.Sprintf("%d/%d", value.GetInt("stamp", "epoch"), value.GetInt("stamp", "sequence")),
		}}
	})
	found.columns = []string{"node", "epoch", "primary", "backup", "holds_primacy", "state"}
	return found, err
}

func (s *Shell) duties([]string) (answer, error) {
	found, err := s.each("seamc", "/v1/fleet", func(one place, value *fastjson.Value) []row {
		var rows []row
		for _, duty := range value.GetArray("duties") {
			if duty.GetBool("is_held") {
				rows = append(rows, row{"duty": text(duty, "duty"), "held_by": one.name})
			}
		}
		return rows
	})
	found.columns = []string{"duty", "held_by"}
	return found, err
}

func (s *Shell) fromPrimary() (*fastjson.Value, string, error) {
	list, _, err := s.places()
	if err != nil {
		return nil, "", err
	}
	var missed []string
	for _, one := range list {
		if one.kind != "seamc" {
			continue
		}
		value, err := s.get(one.door, "/v1/fleet")
		if err != nil {
			missed = append(missed, one.name)
			continue
		}
		if value.GetBool("primacy") {
			return value, one.name, nil
		}
	}
	return nil, "", errors.WithType(errors.Errorf("no control machine that was reached holds primacy (not reached: %s)", strings.Join(missed, ", ")), ErrReached)
}

func (s *Shell) leases([]string) (answer, error) {
	found := answer{columns: []string{"node", "has_taken_up", "shows"}}
	value, _, err := s.fromPrimary()
	if err != nil {
		return found, err
	}
	for _, lease := range value.GetArray("leases") {
		found.rows = append(found.rows, row{
			"node": text(lease, "node"), "has_taken_up": fmt.Sprintf("%d/%d", lease.GetInt("epoch"), lease.GetInt("sequence")), "shows": lease.GetInt("shows"),
		})
	}
	slices.SortFunc(found.rows, func(a, b row) int { return strings.Compare(fmt.Sprint(a["node"]), fmt.Sprint(b["node"])) })
	return found, nil
}

func names(value *fastjson.Value, key string) string {
	var list []string
	if object := value.GetObject(key); object != nil {
		object.Visit(func(name []byte, _ *fastjson.Value) { list = append(list, string(name)) })
	}
	slices.Sort(list)
	return strings.Join(list, ",")
}

func (s *Shell) writers([]string) (answer, error) {
	found := answer{columns: []string{"database", "term", "primary", "phase", "commits_wait_for", "may_be_promoted", "why"}}
	value, _, err := s.fromPrimary()
	if err != nil {
		return found, err
	}
	for _, writer := range value.GetArray("writers") {
		found.rows = append(found.rows, row{
			"database": text(writer, "Database"), "term": writer.GetInt("Term"), "primary": text(writer, "Primary"), "phase": text(writer, "Phase"),
			"commits_wait_for": names(writer, "Required"), "may_be_promoted": names(writer, "Candidates"), "why": text(writer, "Why"),
		})
	}
	return found, nil
}

func (s *Shell) why(words []string) (answer, error) {
	found := answer{columns: []string{"at", "subject", "what", "evidence"}}
	value, _, err := s.fromPrimary()
	if err != nil {
		return found, err
	}
	for _, entry := range value.GetArray("entries") {
		subject := text(entry, "subject")
		if len(words) > 0 && subject != words[0] && subject != "database "+words[0] {
			continue
		}
		found.rows = append(found.rows, row{
			"at": time.Unix(0, entry.GetInt64("at")).UTC().Format("15:04:05.000"), "subject": subject, "what": text(entry, "what"), "evidence": text(entry, "evidence"),
		})
	}
	if len(words) > 0 && len(found.rows) == 0 {
		return found, errors.WithType(errors.Errorf("nothing is on record about %q", words[0]), ErrQuery)
	}
	return found, nil
}

func (s *Shell) counters(words []string) (answer, error) {
	found := answer{columns: []string{"counter", "count"}}
	door := s.Door
	if len(words) == 1 {
		list, _, err := s.places()
		if err != nil {
			return found, err
		}
		at := slices.IndexFunc(list, func(one place) bool { return one.name == words[0] })
		if at < 0 {
			return found, errors.WithType(errors.Errorf("no node %q is known", words[0]), ErrQuery)
		}
		door = list[at].door
	}
	value, err := s.get(door, "/v1/counters")
	if err != nil {
		return found, err
	}
	value.GetObject("counters").Visit(func(key []byte, count *fastjson.Value) {
		found.rows = append(found.rows, row{"counter": string(key), "count": count.GetInt64()})
	})
	slices.SortFunc(found.rows, func(a, b row) int { return strings.Compare(a["counter"].(string), b["counter"].(string)) })
	return found, nil
}

func (s *Shell) help([]string) (answer, error) {
	found := answer{columns: []string{"query", "answers"}}
	for _, name := range Names() {
		found.rows = append(found.rows, row{"query": name, "answers": queries[name].help})
	}
	return found, nil
}
