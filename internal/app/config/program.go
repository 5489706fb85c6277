package config

// Version is that of the build, set by the linker.
var Version = "dev"

// Program is a program that is configured by this package.
type Program string

// The programs.
const (
	Proxy   Program = "tansyseam-proxy"
	Control Program = "tansyseam-control"
)

var descriptions = map[Program]string{
	Proxy:   "tansyseam's data plane: sessions in, capped connections out",
	Control: "tansyseam's control plane: bindings, epochs, the writer role",
}
