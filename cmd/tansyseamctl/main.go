// Program tansyseamctl is the shell for queries on the fleet's state.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
	"github.com/lesismal/nbio/logging"

	"tansyseam/internal/app/bootstrap"
	"tansyseam/internal/app/config"
	"tansyseam/internal/app/shell"
	"tansyseam/internal/transport/worker"
)

func main() { os.Exit(execute(os.Args[1:])) }

func execute(args []string) int {
	logging.SetLogger(bootstrap.SilentLogger{})
	parser := flaggy.NewParser("tansyseamctl")
	parser.Description = "queries on the fleet's state; without a query, a prompt. " + "Queries: " + strings.Join(shell.QueryNames(), ", ")
	parser.Version = config.Version
	address, asJSON := "", false
	parser.String(&address, "a", "at", "IP:port of any node's door")
	parser.Bool(&asJSON, "j", "json", "answer in JSON")
	var words [3]string
	for at := range words {
		parser.AddPositionalValue(&words[at], fmt.Sprintf("word%d", at+1), at+1, false, "query and its words")
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "tansyseamctl:", err)
		return bootstrap.ExitBadConfig
	}
	if !config.IsIPPort(address) {
		fmt.Fprintln(os.Stderr, "tansyseamctl: --at must be the IP:port of a node's door")
		return bootstrap.ExitBadConfig
	}
	workers := worker.NewGroup()
	defer workers.Stop(time.Second)
	client, err := shell.New(address, asJSON, os.Stdout, workers)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tansyseamctl:", err)
		return bootstrap.ExitFailure
	}
	line := strings.TrimSpace(strings.Join(words[:], " "))
	if line == "" {
		err = client.RunInteractive(os.Stdin)
	} else if err = client.Run(line); err != nil {
		fmt.Fprintln(os.Stderr, "tansyseamctl:", err)
	}
	if errors.Is(err, shell.ErrBadQuery) {
		return bootstrap.ExitBadConfig
	}
	if err != nil {
		return bootstrap.ExitFailure
	}
	return bootstrap.ExitOK
}
