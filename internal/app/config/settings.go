package config

import (
	"slices"
	"time"
)

// Which programs have a setting.
var (
	both        = []Program{Proxy, Control}
	proxyOnly   = []Program{Proxy}
	controlOnly = []Program{Control}
)

// settings holds every setting.
var settings = []setting{
	stringSetting(both, "name", "name of this node, unlike all others", func(c *Config) *string { return &c.Name }),
	stringSetting(both, "zone", "failure domain of this machine", func(c *Config) *string { return &c.Zone }),
	stringSetting(both, "link", "IP:port on which other nodes connect", func(c *Config) *string { return &c.RPCAddress }),
	stringSetting(both, "door", "IP:port on which calls over HTTP are taken", func(c *Config) *string { return &c.HTTPAddress }),
	stringSetting(both, "advertise_link", "IP:port advertised to others in place of link",
		func(c *Config) *string { return &c.AdvertiseRPCAddress }),
	stringSetting(both, "advertise_door", "IP:port advertised to others in place of door",
		func(c *Config) *string { return &c.AdvertiseHTTPAddress }),
	reloadable(listSetting(both, "seeds", "three link addresses of other nodes, with commas between",
		func(c *Config) *[]string { return &c.Seeds })),
	stringSetting(controlOnly, "data", "data directory on the small disk", func(c *Config) *string { return &c.DataDir }),
	intSetting(controlOnly, "disks", "number of nodes that form the control plane",
		func(c *Config) *int { return &c.ControlNodes }),
	intSetting(controlOnly, "losses", "control nodes that may be lost at once, in place of disks",
		func(c *Config) *int { return &c.TolerableLosses }),
	boolSetting(controlOnly, "founder", "true where a node with an empty disk may form a new cluster",
		func(c *Config) *bool { return &c.Bootstrap }),
	boolSetting(controlOnly, "fenced", "true where the platform checks the fencing tokens of promote calls",
		func(c *Config) *bool { return &c.PlatformChecksFences }),
	modeSetting(both, "manner", "protocols spoken with the outside: empty for the product's own, or platform",
		func(c *Config) *Mode { return &c.Mode }),
	stringSetting(proxyOnly, "sessions", "IP:port on which clients' line sessions are taken",
		func(c *Config) *string { return &c.LineAddress }),
	intSetting(both, "seed_port", "port of the seeds' links, where seeds names other ports",
		func(c *Config) *int { return &c.SeedRPCPort }),
	durationSetting(controlOnly, "in_force_ms", "ms from a set's acceptance until it is in force everywhere, at most",
		time.Millisecond, func(c *Config) *time.Duration { return &c.ActivationBound }),
	durationSetting(proxyOnly, "grace_s", "s that a stop may take before the process is killed",
		time.Second, func(c *Config) *time.Duration { return &c.ShutdownGrace }),
	durationSetting(proxyOnly, "drain_ms", "ms that an instance still serves once it announced that it leaves",
		time.Millisecond, func(c *Config) *time.Duration { return &c.InstanceDrain }),
	reloadable(stringSetting(controlOnly, "platform", "IP:port of the platform's promote call",
		func(c *Config) *string { return &c.PlatformAddress })),
	reloadable(floatSetting(proxyOnly, "weight", "weight of this node among the proxies",
		func(c *Config) *float64 { return &c.Weight })),
	reloadable(stringSetting(both, "log_level", "trace, debug, info, warn or error",
		func(c *Config) *string { return &c.LogLevel })),
	boolSetting(both, "log_json", "true for logs as JSON lines", func(c *Config) *bool { return &c.LogJSON }),
}

func settingsOf(program Program) []setting {
	return slices.DeleteFunc(slices.Clone(settings), func(s setting) bool { return !slices.Contains(s.programs, program) })
}

func findSetting(program Program, name string) (setting, bool) {
	own := settingsOf(program)
	index := slices.IndexFunc(own, func(s setting) bool { return s.name == name })
	if index < 0 {
		return setting{}, false
	}
	return own[index], true
}
