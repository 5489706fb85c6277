// Program seamc is the control plane.
package main

import (
	"os"
	"time"

	"tansyseam.example/platform"
	"tansyseam.example/pooler/cmd/control"
	"tansyseam.example/pooler/cmd/fleet"
	"tansyseam.example/pooler/cmd/settings"
	"tansyseam.example/pooler/cmd/start"
)

type manner struct {
	seams *control.Seams
	start func() error
}

var manners = map[string]func(*fleet.Node) manner{
	"": func(*fleet.Node) manner { return manner{start: func() error { return nil }} },
	settings.MannerPlatform: func(node *fleet.Node) manner {
		node.Translate = platform.Translate
		orders := control.NewOrders(node.Crew, platform.Codec(), node.Place().Name)
		return manner{seams: &control.Seams{Order: orders.Give, Promote: control.Promoter(node, platform.Promote)}, start: orders.Start}
	},
}

// leaveBound is how long a machine waits for others to take its roles over.
const leaveBound = 5 * time.Second

func main() {
	os.Exit(start.Main("seamc", os.Args[1:], func(node *fleet.Node, place settings.Settings) (start.Program, error) {
		way := manners[place.Manner](node)
		made, err := control.Open(node, place, way.seams)
		if err != nil {
			return start.Program{}, err
		}
		begin := func() error {
			if err := way.start(); err != nil {
				return err
			}
			made.Start()
			return nil
		}
		return start.Program{Start: begin, Drain: func() {
			made.Leave(leaveBound)
			node.Leave()
		}}, nil
	}))
}
