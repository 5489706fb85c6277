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
	// dialTimeout bounds the connect to a node.
	dialTimeout = 2 * time.Second
	// requestTimeout bounds the wait for a node's answer.
	requestTimeout = 3 * time.Second
	// prompt is written before each input line.
	prompt = "tansyseamctl> "
)

// Requester makes a call to the HTTP address of a node and returns the body of the
// answer.
type Requester func(address, path string) ([]byte, error)

// Shell answers queries. It calls the node at one address, and any other node of the
// cluster at the address that this node reports.
type Shell struct {
	// Address is the HTTP address of the first node, from which the shell reads the
	// list of nodes.
	Address string
	// JSON is true if answers are written as JSON instead of tables.
	JSON bool
	// Out receives the answers.
	Out     io.Writer
	request Requester
}

// New returns a shell that calls nodes over HTTP.
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

// NewWithRequester returns a shell that calls nodes with the given function.
func NewWithRequester(address string, asJSON bool, out io.Writer, request Requester) *Shell {
	return &Shell{Address: address, JSON: asJSON, Out: out, request: request}
}

// Run answers one query, which is a name followed by its arguments. Its errors are
// ErrBadQuery and ErrUnreachable. With ErrUnreachable, the answers of the nodes that
// were reached may have been written.
func (s *Shell) Run(line string) error {
	words := strings.Fields(line)
	if len(words) == 0 {
		return nil
	}
	name, args := words[0], words[1:]
	selected, found := queries[name]
	if !found {
		return badQuery("no query %q; there are: %s", name, strings.Join(QueryNames(), ", "))
	}
	if len(args) > selected.maxArgs {
		return badQuery("%q takes at most %d words, got %d: %s", name, selected.maxArgs, len(args), selected.help)
	}
	res, err := selected.run(s, args)
	if err != nil {
		return err
	}
	s.render(selected.columns, res)
	if len(res.unreachable) > 0 {
		return unreachable("not reached: %s", strings.Join(res.unreachable, "; "))
	}
	return nil
}

// RunInteractive writes a prompt for each line of a reader and answers it, until the
// end of the input or a line quit or exit. It returns the error of the last query.
func (s *Shell) RunInteractive(in io.Reader) error {
	var lastErr error
	lines := bufio.NewScanner(in)
	s.write(prompt)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "quit" || line == "exit" {
			return lastErr
		}
		if lastErr = s.Run(line); lastErr != nil {
			s.write(lastErr.Error() + "\n")
		}
		s.write(prompt)
	}
	s.write("\n")
	return lastErr
}

// write writes a text to the operator. The error is ignored, because there is no
// other output on which to report it.
func (s *Shell) write(text string) { _, _ = io.WriteString(s.Out, text) }
