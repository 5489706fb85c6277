// Program seamc is the control plane.
package main

import (
	"os"
	"time"

	"tansyseam.example/pooler/cmd/control"
	"tansyseam.example/pooler/cmd/fleet"
	"tansyseam.example/pooler/cmd/settings"
	"tansyseam.example/pooler/cmd/start"
)

func main() {
	os.Exit(start.Main("seamc", os.Args[1:], func(node *fleet.Node, place settings.Settings, die func(error)) (start.Program, error) {
		made, err := control.Open(node, place, die, nil)
		if err != nil {
			return start.Program{}, err
		}
		return start.Program{Start: func() error { made.Start(); return nil }, Drain: func() {
			node.Leave()
			made.Leave(time.Second)
		}}, nil
	}))
}
