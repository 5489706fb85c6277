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

type adapterSet struct {
	adapters *control.Adapters
	start    func() error
}

var adaptersByMode = map[string]func(*node.Node) adapterSet{
	"": func(*node.Node) adapterSet { return adapterSet{start: func() error { return nil }} },
	config.ModePlatform: func(node *node.Node) adapterSet {
		node.Translate = platform.Translate
		commands := control.NewCommandClient(node.Workers, platform.Codec(), node.Config().Name)
		return adapterSet{adapters: &control.Adapters{SendCommand: commands.Send, Promote: control.NewPromoter(node, platform.Promote)}, start: commands.Start}
	},
}

// leaveBound is how long a machine waits for others to take its roles over.
const leaveTimeout = 5 * time.Second

func main() {
	os.Exit(bootstrap.Main("seamc", os.Args[1:], func(node *node.Node, cfg config.Config) (bootstrap.Daemon, error) {
		set := adaptersByMode[cfg.Mode](node)
		server, err := control.Open(node, cfg, set.adapters)
		if err != nil {
			return bootstrap.Daemon{}, err
		}
		begin := func() error {
			if err := set.start(); err != nil {
				return err
			}
			server.Start()
			return nil
		}
		return bootstrap.Daemon{Start: begin, Drain: func() {
			server.Leave(leaveTimeout)
			node.Leave()
		}}, nil
	}))
}
