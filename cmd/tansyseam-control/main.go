// Program tansyseam-control is the control plane.
package main

import (
	"os"
	"time"

	"tansyseam/internal/app/bootstrap"
	"tansyseam/internal/app/config"
	"tansyseam/internal/app/control"
	"tansyseam/internal/app/node"
	"tansyseam/platform"
)

type manner struct {
	seams *control.Seams
	start func() error
}

var manners = map[string]func(*node.Node) manner{
	"": func(*node.Node) manner { return manner{start: func() error { return nil }} },
	config.MannerPlatform: func(node *node.Node) manner {
		node.Translate = platform.Translate
		orders := control.NewOrders(node.Crew, platform.Codec(), node.Place().Name)
		return manner{seams: &control.Seams{Order: orders.Give, Promote: control.Promoter(node, platform.Promote)}, start: orders.Start}
	},
}

// leaveBound is how long a machine waits for others to take its roles over.
const leaveBound = 5 * time.Second

func main() {
	os.Exit(bootstrap.Main("seamc", os.Args[1:], func(node *node.Node, place config.Settings) (bootstrap.Program, error) {
		way := manners[place.Manner](node)
		made, err := control.Open(node, place, way.seams)
		if err != nil {
			return bootstrap.Program{}, err
		}
		begin := func() error {
			if err := way.start(); err != nil {
				return err
			}
			made.Start()
			return nil
		}
		return bootstrap.Program{Start: begin, Drain: func() {
			made.Leave(leaveBound)
			node.Leave()
		}}, nil
	}))
}
