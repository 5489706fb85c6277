// Program tansyseam-control is the control plane: it holds the bindings, gives
// the proxies their configuration and leases, and moves the writer roles.
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

// leaveTimeout bounds the wait for other nodes to take over the roles of a node
// that stops.
const leaveTimeout = 5 * time.Second

// outside is what connects a control node to instances and platform.
type outside struct {
	// adapters are nil in the product's own mode, which needs none.
	adapters *control.Adapters
	// start is called once the node has started, before the server acts.
	start func() error
}

// outsideByMode makes what each mode needs.
var outsideByMode = map[config.Mode]func(*node.Node) outside{
	config.ModeNative:   func(*node.Node) outside { return outside{start: func() error { return nil }} },
	config.ModePlatform: newPlatformOutside,
}

func newPlatformOutside(node *node.Node) outside {
	node.Translate = platform.Translate
	commands := control.NewCommandClient(node.Workers, platform.Codec(), node.Config().Name)
	adapters := &control.Adapters{SendCommand: commands.Send, Promote: control.NewPromoter(node, platform.Promote)}
	return outside{adapters: adapters, start: commands.Start}
}

func main() { os.Exit(bootstrap.Main(config.Control, os.Args[1:], open)) }

func open(node *node.Node, cfg config.Config) (bootstrap.Daemon, error) {
	outside := outsideByMode[cfg.Mode](node)
	server, err := control.Open(node, cfg, outside.adapters)
	if err != nil {
		return bootstrap.Daemon{}, err
	}
	start := func() error {
		if err := outside.start(); err != nil {
			return err
		}
		server.Start()
		return nil
	}
	drain := func() {
		server.Leave(leaveTimeout)
		node.Leave()
	}
	return bootstrap.Daemon{Start: start, Drain: drain}, nil
}
