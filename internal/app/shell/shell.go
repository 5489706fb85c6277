package shell

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/transport/httpserver"
	"tansyseam/internal/transport/worker"
)

const (
	// dialTimeout bounds a connect to a node.
	dialTimeout = 2 * time.Second
	// requestTimeout bounds the wait for a node's answer.
	requestTimeout = 3 * time.Second
	// prompt is written before each line that is read.
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
