// Program seamd is the data plane.
package main

import (
	"os"

	"tansyseam.example/platform"
	"tansyseam.example/pooler/cmd/fleet"
	"tansyseam.example/pooler/cmd/plane"
	"tansyseam.example/pooler/cmd/sessions"
	"tansyseam.example/pooler/cmd/settings"
	"tansyseam.example/pooler/cmd/start"
)

var manners = map[string]func(*fleet.Node) (start.Program, error){
	"": func(node *fleet.Node) (start.Program, error) {
		made, err := plane.Open(node)
		if err != nil {
			return start.Program{}, err
		}
		return start.Program{Start: func() error { made.Start(); return nil }, Drain: made.Drain}, nil
	},
	settings.MannerPlatform: func(node *fleet.Node) (start.Program, error) {
		node.Translate = platform.Translate
		made, err := sessions.Open(node, platform.Codec())
		if err != nil {
			return start.Program{}, err
		}
		return start.Program{Start: made.Start, Drain: made.Drain}, nil
	},
}

func main() {
	os.Exit(start.Main("seamd", os.Args[1:], func(node *fleet.Node, place settings.Settings) (start.Program, error) {
		return manners[place.Manner](node)
	}))
}
