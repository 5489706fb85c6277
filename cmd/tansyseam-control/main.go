// Program tansyseam-control is the control plane: it stores the bindings, sends
// configuration and leases to the proxies, and moves the writer roles.
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
// that shuts down.
const leaveTimeout = 5 * time.Second

// externalClients are the clients with which a control node calls instances and the
// platform.
type externalClients struct {
	// adapters is nil in ModeNative, which needs no adapters.
	adapters *control.Adapters
	// start is called after the node has started and before the server starts.
	start func() error
}

// clientsByMode holds the constructor of the external clients of each mode.
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
