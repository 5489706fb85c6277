// Program tansyseam-proxy is the data plane: it accepts client sessions and routes
// their statements to database instances over a bounded number of connections.
package main

import (
	"os"

	"tansyseam/internal/app/bootstrap"
	"tansyseam/internal/app/config"
	"tansyseam/internal/app/httpproxy"
	"tansyseam/internal/app/lineproxy"
	"tansyseam/internal/app/node"
	"tansyseam/platform"
)

// openByMode holds, for each mode, the function that opens the proxy for its
// protocols.
var openByMode = map[config.Mode]func(*node.Node) (bootstrap.Daemon, error){
	config.ModeNative:   openHTTPProxy,
	config.ModePlatform: openLineProxy,
}

func main() {
	os.Exit(bootstrap.Main(config.Proxy, os.Args[1:], func(node *node.Node, cfg config.Config) (bootstrap.Daemon, error) {
		return openByMode[cfg.Mode](node)
	}))
}

func openHTTPProxy(node *node.Node) (bootstrap.Daemon, error) {
	proxy, err := httpproxy.New(node)
	if err != nil {
		return bootstrap.Daemon{}, err
	}
	start := func() error {
		proxy.Start()
		return nil
	}
	return bootstrap.Daemon{Start: start, Drain: proxy.Drain}, nil
}

func openLineProxy(node *node.Node) (bootstrap.Daemon, error) {
	node.Translate = platform.Translate
	proxy := lineproxy.New(node, platform.Codec())
	return bootstrap.Daemon{Start: proxy.Start, Drain: proxy.Drain}, nil
}
