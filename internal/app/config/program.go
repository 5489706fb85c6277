package config

// Version is the version of the build. The linker sets it.
var Version = "dev"

// Program is the name of a program that this package configures.
type Program string

// The programs.
const (
	Proxy   Program = "tansyseam-proxy"
	Control Program = "tansyseam-control"
)

var descriptions = map[Program]string{
	Proxy:   "tansyseam data plane: routes client sessions over a limited number of connections",
	Control: "tansyseam control plane: manages bindings, epochs and writer roles",
}
