package config

import (
	"net"
	"strconv"
	"time"
)

// Mode selects the protocols that clients, instances, operators and the
// platform use.
type Mode string

// The modes.
const (
	// ModeNative is the mode of the product's own protocols.
	ModeNative Mode = ""
	// ModePlatform is the mode of the protocols of the users' platform, which
	// package platform translates.
	ModePlatform Mode = "platform"
)

// Config is the configuration of a program. The comment of each field names its
// setting, its unit if it has one, and its default. A setting without a default
// is required unless the comment says otherwise. Fields whose setting the program
// does not have keep their defaults.
type Config struct {
	// Name is the node's name, unique in the cluster: 1 to 63 letters, digits,
	// '-', '.' or '_'. Setting: name.
	Name string
	// Zone is the failure domain of the machine. It follows the same rules as
	// Name. Setting: zone.
	Zone string
	// RPCAddress is the address on which the node listens for other nodes, as
	// IP:port. Setting: link.
	RPCAddress string
	// HTTPAddress is the address on which the node listens for HTTP calls, as
	// IP:port. Setting: door.
	HTTPAddress string
	// AdvertiseRPCAddress is the address to which other nodes connect, as
	// IP:port; RPCAddress by default. Setting: advertise_link.
	AdvertiseRPCAddress string
	// AdvertiseHTTPAddress is the address to which others send HTTP calls, as
	// IP:port; HTTPAddress by default. Setting: advertise_door.
	AdvertiseHTTPAddress string
	// Seeds are three addresses of other nodes, as IP:port, through which the
	// node joins the cluster. They are RPC addresses, or with SeedRPCPort, the
	// addresses of any other service on the same hosts. In ModePlatform one or
	// two are enough. Setting: seeds.
	Seeds []string
	// SeedRPCPort is the port of the seeds' RPC addresses. With 0, the default,
	// the ports in Seeds are used. Setting: seed_port.
	SeedRPCPort int
	// Mode selects the protocols; ModeNative by default. Setting: manner.
	Mode Mode
	// LogLevel is trace, debug, info, warn or error; info by default.
	// Setting: log_level.
	LogLevel string
	// LogJSON is true if log lines are JSON objects; false by default.
	// Setting: log_json.
	LogJSON bool

	// LineAddress is the address on which a proxy accepts client sessions of
	// the line protocol, as IP:port. It is required in ModePlatform and must be
	// empty in ModeNative. Setting: sessions.
	LineAddress string
	// Weight is a proxy's share of each instance's capacity, relative to the
	// weights of the other proxies: 0.1 to 100, 1 by default. Setting: weight.
	Weight float64
	// ShutdownGrace is the time that a proxy has to stop before it is killed:
	// 2 s to 10 min, 6 s by default. It is used in ModePlatform only.
	// Setting: grace_s, in s.
	ShutdownGrace time.Duration
	// InstanceDrain is how long an instance continues to serve after it has
	// announced that it is leaving: 1 s to 10 min, 7 s by default. It is used in
	// ModePlatform only. Setting: drain_ms, in ms.
	InstanceDrain time.Duration

	// DataDir is the directory of a control node's files. Setting: data.
	DataDir string
	// ControlNodes is the exact number of control nodes: 3, 5, 7 or 9. All of
	// them vote. It is 0 if TolerableLosses is set. Setting: disks.
	ControlNodes int
	// TolerableLosses is the number of control nodes that can be lost at once,
	// 1 to 4; 2*TolerableLosses+1 control nodes vote. It replaces ControlNodes.
	// With 0, the default, ControlNodes is used. Setting: losses.
	TolerableLosses int
	// Bootstrap is true if a control node with an empty data directory may form
	// a new cluster; false by default. It is used with TolerableLosses only.
	// Setting: founder.
	Bootstrap bool
	// PlatformAddress is the address to which promote calls to the platform are
	// sent, as IP:port. Setting: platform.
	PlatformAddress string
	// PlatformChecksFences is true if the platform rejects a promote call whose
	// fencing token is lower than that of an earlier call; false by default.
	// Setting: fenced.
	PlatformChecksFences bool
	// ActivationBound is the longest time from the acceptance of a binding set
	// until it is in force on every proxy: 2.5 s to 1 min, 3 s by default.
	// Setting: in_force_ms, in ms.
	ActivationBound time.Duration

	// File is the path of the settings file, or empty if the configuration comes
	// from flags alone. Flag: --config.
	File string
	// CheckOnly is true if the program exits after checking the configuration;
	// false by default. Flag: --check.
	CheckOnly bool
}

func defaults() Config {
	return Config{
		Weight: 1, LogLevel: "info",
		ActivationBound: 3 * time.Second, ShutdownGrace: 6 * time.Second, InstanceDrain: 7 * time.Second,
	}
}

// SeedRPCAddresses returns the RPC addresses of the seeds.
func (c Config) SeedRPCAddresses() []string {
	if c.SeedRPCPort == 0 {
		return c.Seeds
	}
	var addresses []string
	for _, seed := range c.Seeds {
		host, _, _ := net.SplitHostPort(seed)
		addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(c.SeedRPCPort)))
	}
	return addresses
}
