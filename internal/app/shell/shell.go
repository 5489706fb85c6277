package shell

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/worker"
)

// Errors of queries.
const (
	// ErrBadQuery says that a query does not exist, has too many words, or is
	// about something unknown.
	ErrBadQuery = errors.ConstError("bad query")
	// ErrUnreachable says that a node that had to be asked was not reached.
	ErrUnreachable = errors.ConstError("a node could not be reached")
)

const (
	dialTimeout    = 2 * time.Second
	requestTimeout = 3 * time.Second

	prompt = "tansyseamctl> "
)

// Requester makes a call to the HTTP address of a node and gives the body of
// the answer.
type Requester func(address, path string) ([]byte, error)

// Shell answers queries by asking the node at one address, and from there any
// node of the cluster.
type Shell struct {
	// Address is the HTTP address of the first node.
	Address string
	// JSON says that answers are written as JSON rather than as tables.
	JSON bool
	// Out takes the answers.
	Out     io.Writer
	request Requester
}

// New makes a shell that asks over HTTP.
func New(address string, asJSON bool, out io.Writer, workers *worker.Group) (*Shell, error) {
	client, err := httpserver.NewClient("", workers)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return NewWithRequester(address, asJSON, out, func(address, path string) ([]byte, error) {
		conn, err := client.Dial(address, dialTimeout, nil)
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer conn.Close()
		response := conn.Post(path, []byte("{}"), requestTimeout)
		return response.Body, errors.Trace(response.Err)
	}), nil
}

// NewWithRequester makes a shell that asks by the function given.
func NewWithRequester(address string, asJSON bool, out io.Writer, request Requester) *Shell {
	return &Shell{Address: address, JSON: asJSON, Out: out, request: request}
}

// query is one kind of query: its columns, and how its rows are found.
type query struct {
	help    string
	maxArgs int
	columns []string
	run     func(s *Shell, args []string) (result, error)
}

var queries map[string]query

// The table stands in a function since help, one of the queries, lists it.
func init() {
	queries = map[string]query{
		"nodes": {
			"every node as the asked node holds it", 0,
			[]string{"node", "kind", "zone", "standing", "silent_ms", "weight", "version", "door"}, (*Shell).nodes,
		},
		"vitals": {
			"whether each node serves, and why not", 0,
			[]string{"node", "kind", "ready", "epoch", "sequence", "lease_ms", "sessions", "why"}, (*Shell).health,
		},
		"instances": {
			"instances: role, term, position, freshness, by node", 1,
			[]string{"node", "instance", "role", "term", "position", "heard_ms", "answered_ms", "fresh_ms", "leaving", "sessions"}, (*Shell).instances,
		},
		"windows": {
			"admission: window, CAL and threshold of each node for each instance", 1,
			[]string{"node", "instance", "window", "max", "beta", "cal_ms", "threshold_ms", "open", "ghosts", "seen"}, (*Shell).windows,
		},
		"bindings": {
			"binding sets, and the sequence in force at each node", 0,
			[]string{"node", "sequence", "bindings", "state"}, (*Shell).bindings,
		},
		"changes": {
			"changes booked and not yet taken", 0,
			[]string{"id", "at", "bindings"}, (*Shell).changes,
		},
		"epochs": {
			"the control plane: epoch, primary, backup, as each control node knows them", 0,
			[]string{"node", "epoch", "primary", "backup", "holds_primacy", "state"}, (*Shell).epochs,
		},
		"duties": {
			"duties and who holds them", 0,
			[]string{"duty", "held_by"}, (*Shell).singletons,
		},
		"leases": {
			"leases given out by the control primary", 0,
			[]string{"node", "has_taken_up", "shows"}, (*Shell).leases,
		},
		"writers": {
			"the writer role of each database", 0,
			[]string{"database", "term", "primary", "phase", "commits_wait_for", "may_be_promoted", "why"}, (*Shell).writers,
		},
		"why": {
			"why SUBJECT: what the fleet did about a database, 'bindings' or 'control', with the evidence", 1,
			[]string{"at", "subject", "what", "evidence"}, (*Shell).history,
		},
		"counters": {
			"counters NODE: a node's counters", 1,
			[]string{"counter", "count"}, (*Shell).counters,
		},
		"help": {
			"this list", 0,
			[]string{"query", "answers"}, (*Shell).help,
		},
	}
}

// QueryNames lists the queries, sorted.
func QueryNames() []string { return slices.Sorted(maps.Keys(queries)) }

// Run answers one query, a name with its arguments. Its errors are ErrBadQuery
// and ErrUnreachable; with the latter there may be an answer from the nodes
// that were reached.
func (s *Shell) Run(line string) error {
	words := strings.Fields(line)
	if len(words) == 0 {
		return nil
	}
	name, args := words[0], words[1:]
	asked, known := queries[name]
	if !known {
		return badQuery("no query %q; there are: %s", name, strings.Join(QueryNames(), ", "))
	}
	if len(args) > asked.maxArgs {
		return badQuery("%q takes at most %d words, got %d: %s", name, asked.maxArgs, len(args), asked.help)
	}
	found, err := asked.run(s, args)
	if err != nil {
		return err
	}
	s.render(asked.columns, found)
	if len(found.unreachable) > 0 {
		return unreachable("not reached: %s", strings.Join(found.unreachable, "; "))
	}
	return nil
}

// RunInteractive answers the lines of a reader behind a prompt until it ends or
// says quit or exit, and gives the error of the last query.
func (s *Shell) RunInteractive(in io.Reader) error {
	var last error
	lines := bufio.NewScanner(in)
	s.write(prompt)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "quit" || line == "exit" {
			return last
		}
		if last = s.Run(line); last != nil {
			s.write(last.Error() + "\n")
		}
		s.write(prompt)
	}
	s.write("\n")
	return last
}

// write writes to the operator. An error is dropped: there is nobody else to
// tell.
func (s *Shell) write(text string) { _, _ = io.WriteString(s.Out, text) }

func (s *Shell) help([]string) (result, error) {
	found := result{}
	for _, name := range QueryNames() {
		found.rows = append(found.rows, helpRow{Answers: queries[name].help, Query: name})
	}
	return found, nil
}

type helpRow struct {
	Answers string `json:"answers"`
	Query   string `json:"query"`
}

func (r helpRow) cells() []any { return []any{r.Query, r.Answers} }

func badQuery(format string, arguments ...any) error {
	return errors.WithType(fmt.Errorf(format, arguments...), ErrBadQuery)
}

func unreachable(format string, arguments ...any) error {
	return errors.WithType(fmt.Errorf(format, arguments...), ErrUnreachable)
}
