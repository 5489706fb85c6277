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

// externalClients are what a control node calls instances and platform with.
type externalClients struct {
	// adapters are nil in the product's own mode, which needs none.
	adapters *control.Adapters
	// start is called once the node has started, before the server acts.
	start func() error
}

// clientsByMode makes what each mode needs.
var clientsByMode = map[config.Mode]func(*node.Node) externalClients{
	config.ModeNative:   newNativeClients,
	config.ModePlatform: newPlatformClients,
}

func newNativeClients(*node.Node) externalClients {
	return externalClients{start: func() error { return nil }}
}

func newPlatformClients(node *node.Node) externalClients {
	node.Translate = platform.Translate
	commands := control.NewCommandClient(node.Workers, platform.Codec(), node.Config().Name)
	adapters := &control.Adapters{SendCommand: commands.Send, Promote: control.NewPromoter(node, platform.Promote)}
	return externalClients{adapters: adapters, start: commands.Start}
}

func main() { os.Exit(bootstrap.Main(config.Control, os.Args[1:], open)) }

func open(node *node.Node, cfg config.Config) (bootstrap.Daemon, error) {
	clients := clientsByMode[cfg.Mode](node)
	server, err := control.Open(node, cfg, clients.adapters)
	if err != nil {
		return bootstrap.Daemon{}, err
	}
	start := func() error {
		if err := clients.start(); err != nil {
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
