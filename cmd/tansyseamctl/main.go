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

func main() { os.Exit(talk(os.Args[1:])) }

func talk(args []string) int {
	logging.SetLogger(bootstrap.Silent{})
	parser := flaggy.NewParser("tansyseamctl")
	parser.Description = "queries on the fleet's state; without a query, a prompt. " + "Queries: " + strings.Join(shell.Names(), ", ")
	parser.Version = config.Version
	door, isJSON := "", false
	parser.String(&door, "a", "at", "IP:port of any node's door")
	parser.Bool(&isJSON, "j", "json", "answer in JSON")
	var words [3]string
	for at := range words {
		parser.AddPositionalValue(&words[at], fmt.Sprintf("word%d", at+1), at+1, false, "query and its words")
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "tansyseamctl:", err)
		return bootstrap.ExitSettings
	}
	if !config.IsAddress(door) {
		fmt.Fprintln(os.Stderr, "tansyseamctl: --at must be the IP:port of a node's door")
		return bootstrap.ExitSettings
	}
	crew := worker.NewCrew()
	defer crew.Stop(time.Second)
	asking, err := shell.New(door, isJSON, os.Stdout, crew)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tansyseamctl:", err)
		return bootstrap.ExitFault
	}
	line := strings.TrimSpace(strings.Join(words[:], " "))
	if line == "" {
		err = asking.Talk(os.Stdin)
	} else if err = asking.Run(line); err != nil {
		fmt.Fprintln(os.Stderr, "tansyseamctl:", err)
	}
	if errors.Is(err, shell.ErrQuery) {
		return bootstrap.ExitSettings
	}
	if err != nil {
		return bootstrap.ExitFault
	}
	return bootstrap.ExitGood
}
