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

var manners = map[string]func(*node.Node) (bootstrap.Program, error){
	"": func(node *node.Node) (bootstrap.Program, error) {
		made, err := httpproxy.Open(node)
		if err != nil {
			return bootstrap.Program{}, err
		}
		return bootstrap.Program{Start: func() error { made.Start(); return nil }, Drain: made.Drain}, nil
	},
	config.MannerPlatform: func(node *node.Node) (bootstrap.Program, error) {
		node.Translate = platform.Translate
		made, err := lineproxy.Open(node, platform.Codec())
		if err != nil {
			return bootstrap.Program{}, err
		}
		return bootstrap.Program{Start: made.Start, Drain: made.Drain}, nil
	},
}

func main() {
	os.Exit(bootstrap.Main("seamd", os.Args[1:], func(node *node.Node, place config.Settings) (bootstrap.Program, error) {
		return manners[place.Manner](node)
	}))
}
