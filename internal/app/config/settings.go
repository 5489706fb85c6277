package config

import (
	"slices"
	"time"
)

// Sets of programs that have a setting.
var (
	bothPrograms = []Program{Proxy, Control}
	proxyOnly    = []Program{Proxy}
	controlOnly  = []Program{Control}
)

// settings is the table of all settings.
var settings = []setting{
	stringSetting(bothPrograms, "name", "name of this node, unique in the cluster", func(c *Config) *string { return &c.Name }),
	stringSetting(bothPrograms, "zone", "failure domain of this machine", func(c *Config) *string { return &c.Zone }),
	stringSetting(bothPrograms, "link", "IP:port on which other nodes connect", func(c *Config) *string { return &c.RPCAddress }),
	stringSetting(bothPrograms, "door", "IP:port on which HTTP calls are accepted", func(c *Config) *string { return &c.HTTPAddress }),
	stringSetting(bothPrograms, "advertise_link", "IP:port advertised to others in place of link",
		func(c *Config) *string { return &c.AdvertiseRPCAddress }),
	stringSetting(bothPrograms, "advertise_door", "IP:port advertised to others in place of door",
		func(c *Config) *string { return &c.AdvertiseHTTPAddress }),
	reloadable(listSetting(bothPrograms, "seeds", "three link addresses of other nodes, separated by commas",
		func(c *Config) *[]string { return &c.Seeds })),
	stringSetting(controlOnly, "data", "data directory, on the small persistent disk", func(c *Config) *string { return &c.DataDir }),
	intSetting(controlOnly, "disks", "number of nodes that form the control plane",
		func(c *Config) *int { return &c.ControlNodes }),
	intSetting(controlOnly, "losses", "number of control nodes that can be lost at once, instead of disks",
		func(c *Config) *int { return &c.TolerableLosses }),
	boolSetting(controlOnly, "founder", "true if a node with an empty data directory may form a new cluster",
		func(c *Config) *bool { return &c.Bootstrap }),
	boolSetting(controlOnly, "fenced", "true if the platform checks the fencing tokens of promote calls",
		func(c *Config) *bool { return &c.PlatformChecksFences }),
	modeSetting(bothPrograms, "manner", "external protocols: empty for the product's own, or platform",
		func(c *Config) *Mode { return &c.Mode }),
	stringSetting(proxyOnly, "sessions", "IP:port on which client sessions of the line protocol are accepted",
		func(c *Config) *string { return &c.LineAddress }),
	intSetting(bothPrograms, "seed_port", "port of the seeds' link addresses, if seeds has other ports",
		func(c *Config) *int { return &c.SeedRPCPort }),
	durationSetting(controlOnly, "in_force_ms", "maximum time in ms from the acceptance of a binding set until all proxies use it",
		time.Millisecond, func(c *Config) *time.Duration { return &c.ActivationBound }),
	durationSetting(proxyOnly, "grace_s", "time in s that the process has to stop before it is killed",
		time.Second, func(c *Config) *time.Duration { return &c.ShutdownGrace }),
	durationSetting(proxyOnly, "drain_ms", "time in ms that an instance continues to serve after it has announced that it is leaving",
		time.Millisecond, func(c *Config) *time.Duration { return &c.InstanceDrain }),
	reloadable(stringSetting(controlOnly, "platform", "IP:port to which promote calls are sent",
		func(c *Config) *string { return &c.PlatformAddress })),
	reloadable(floatSetting(proxyOnly, "weight", "weight of this node relative to the other proxies",
		func(c *Config) *float64 { return &c.Weight })),
	reloadable(stringSetting(bothPrograms, "log_level", "trace, debug, info, warn or error",
		func(c *Config) *string { return &c.LogLevel })),
	boolSetting(bothPrograms, "log_json", "true to write log lines as JSON", func(c *Config) *bool { return &c.LogJSON }),
}

func settingsOf(program Program) []setting {
	return slices.DeleteFunc(slices.Clone(settings), func(s setting) bool { return !slices.Contains(s.programs, program) })
}

func findSetting(program Program, name string) (setting, bool) {
	available := settingsOf(program)
	index := slices.IndexFunc(available, func(s setting) bool { return s.name == name })
	if index < 0 {
		return setting{}, false
	}
	return available[index], true
}
