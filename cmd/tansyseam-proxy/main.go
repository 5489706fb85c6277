// Program tansyseam-proxy is the data plane.
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

var openByMode = map[string]func(*node.Node) (bootstrap.Daemon, error){
	"": func(node *node.Node) (bootstrap.Daemon, error) {
		proxy, err := httpproxy.New(node)
		if err != nil {
			return bootstrap.Daemon{}, err
		}
		return bootstrap.Daemon{Start: func() error { proxy.Start(); return nil }, Drain: proxy.Drain}, nil
	},
	config.ModePlatform: func(node *node.Node) (bootstrap.Daemon, error) {
		node.Translate = platform.Translate
		proxy, err := lineproxy.Open(node, platform.Codec())
		if err != nil {
			return bootstrap.Daemon{}, err
		}
		return bootstrap.Daemon{Start: proxy.Start, Drain: proxy.Drain}, nil
	},
}

func main() {
	os.Exit(bootstrap.Main("seamd", os.Args[1:], func(node *node.Node, cfg config.Config) (bootstrap.Daemon, error) {
		return openByMode[cfg.Mode](node)
	}))
}
