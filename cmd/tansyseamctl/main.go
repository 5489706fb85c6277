// Program tansyseamctl is the operators' client: it answers queries on the state of
// the cluster, either one query from its arguments or any number at a prompt.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"tansyseam/internal/app/bootstrap"
	"tansyseam/internal/app/config"
	"tansyseam/internal/app/shell"
	"tansyseam/internal/transport/worker"
)

const (
	program = "tansyseamctl"
	// maxWords is the maximum number of words in a query.
	maxWords = 3
	// stopTimeout bounds the wait for connections to close at exit.
	stopTimeout = time.Second
)

// errBadAddress is returned when --at is missing or is not IP:port.
const errBadAddress = errors.ConstError("--at must be the IP:port of a node's HTTP address (setting door)")

// options are the parsed command-line arguments.
type options struct {
	address string
	asJSON  bool
	// query is empty if queries are read at a prompt.
	query string
}

func main() { os.Exit(execute(os.Args[1:])) }

// execute runs the client and returns the exit code.
func execute(args []string) int {
	bootstrap.DisableEngineLog()
	parsed, err := parseArguments(args)
	if err != nil {
		report(err)
		return bootstrap.ExitBadConfig
	}
	workers := worker.NewGroup()
	defer workers.Stop(stopTimeout)
	client, err := shell.New(parsed.address, parsed.asJSON, os.Stdout, workers)
	if err != nil {
		report(err)
		return bootstrap.ExitFailure
	}
	return exitCode(run(client, parsed.query))
}

func parseArguments(args []string) (options, error) {
	parser := flaggy.NewParser(program)
	parser.Description = "queries the state of the cluster; without a query, reads queries at a prompt. Queries: " + strings.Join(shell.QueryNames(), ", ")
	parser.Version = config.Version
	parsed := options{}
	parser.String(&parsed.address, "a", "at", "IP:port of any node's HTTP address (setting door)")
	parser.Bool(&parsed.asJSON, "j", "json", "answer in JSON")
	var words [maxWords]string
	for index := range words {
		parser.AddPositionalValue(&words[index], fmt.Sprintf("word%d", index+1), index+1, false, "query and its arguments")
	}
	if err := parser.ParseArgs(args); err != nil {
		return parsed, errors.Trace(err)
	}
	if !config.IsIPPort(parsed.address) {
		return parsed, errBadAddress
	}
	parsed.query = strings.TrimSpace(strings.Join(words[:], " "))
	return parsed, nil
}

// run answers the query, or without one, the queries at a prompt. The prompt reports
// errors itself.
func run(client *shell.Shell, query string) error {
	if query == "" {
		return client.RunInteractive(os.Stdin)
	}
	err := client.Run(query)
	if err != nil {
		report(err)
	}
	return err
}

func report(err error) { fmt.Fprintf(os.Stderr, "%s: %v\n", program, err) }

func exitCode(err error) int {
	if err == nil {
		return bootstrap.ExitOK
	}
	if errors.Is(err, shell.ErrBadQuery) {
		return bootstrap.ExitBadConfig
	}
	return bootstrap.ExitFailure
}
