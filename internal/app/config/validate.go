package config

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"go.uber.org/multierr"
)

// Bounds of the settings.
const (
	maxNameLength      = 63
	maxPort            = 65535
	seedCount          = 3
	minControlNodes    = 3
	maxControlNodes    = 9
	maxTolerableLosses = 4
	minWeight          = 0.1
	maxWeight          = 100
	// Leases of 1.6 s must expire before a binding set takes effect.
	minActivationBound = 2500 * time.Millisecond
	maxActivationBound = time.Minute
	minShutdownGrace   = 2 * time.Second
	maxShutdownGrace   = 10 * time.Minute
	minInstanceDrain   = time.Second
	maxInstanceDrain   = 10 * time.Minute
)

// constraint is a condition on a setting. reason states the condition for
// operators; violated reports whether a configuration breaks it.
type constraint struct {
	programs []Program
	name     string
	reason   string
	violated func(Config) bool
}

const (
	nameReason    = "must be 1 to 63 letters, digits, '-', '.' or '_'"
	addressReason = "must be IP:port"
)

var constraints = []constraint{
	{bothPrograms, "name", nameReason, func(c Config) bool { return !isName(c.Name) }},
	{bothPrograms, "zone", nameReason, func(c Config) bool { return !isName(c.Zone) }},
	{bothPrograms, "link", addressReason, func(c Config) bool { return !IsIPPort(c.RPCAddress) }},
	{bothPrograms, "door", addressReason, func(c Config) bool { return !IsIPPort(c.HTTPAddress) }},
	{bothPrograms, "door", "must not be the same address as link", func(c Config) bool { return c.HTTPAddress != "" && c.HTTPAddress == c.RPCAddress }},
	{bothPrograms, "advertise_link", addressReason, func(c Config) bool { return c.AdvertiseRPCAddress != "" && !IsIPPort(c.AdvertiseRPCAddress) }},
	{bothPrograms, "advertise_door", addressReason, func(c Config) bool { return c.AdvertiseHTTPAddress != "" && !IsIPPort(c.AdvertiseHTTPAddress) }},
	{bothPrograms, "seeds", "must be three addresses, each IP:port; one to three if manner is platform", func(c Config) bool {
		return !allowsSeedCount(c) || slices.ContainsFunc(c.Seeds, func(seed string) bool { return !IsIPPort(seed) })
	}},
	{bothPrograms, "manner", "must be empty or platform", func(c Config) bool { return c.Mode != ModeNative && c.Mode != ModePlatform }},
	{proxyOnly, "sessions", "must be IP:port if manner is platform, and empty otherwise", func(c Config) bool {
		return (c.Mode != ModeNative && !IsIPPort(c.LineAddress)) || (c.Mode == ModeNative && c.LineAddress != "")
	}},
	{bothPrograms, "seed_port", "must be from 1 to 65535", func(c Config) bool { return c.SeedRPCPort < 0 || c.SeedRPCPort > maxPort }},
	{controlOnly, "data", "must be the path of the data directory", func(c Config) bool { return c.DataDir == "" }},
	{controlOnly, "disks", "must be an odd number from 3 to 9", func(c Config) bool {
		return c.TolerableLosses == 0 && (c.ControlNodes < minControlNodes || c.ControlNodes > maxControlNodes || c.ControlNodes%2 == 0)
	}},
	{controlOnly, "losses", "must be from 1 to 4, and must not be combined with disks", func(c Config) bool {
		return c.TolerableLosses < 0 || c.TolerableLosses > maxTolerableLosses || (c.TolerableLosses > 0 && c.ControlNodes > 0)
	}},
	{controlOnly, "platform", addressReason, func(c Config) bool { return !IsIPPort(c.PlatformAddress) }},
	// The condition is negated so that NaN violates it too.
	{proxyOnly, "weight", "must be from 0.1 to 100", func(c Config) bool { return !(c.Weight >= minWeight && c.Weight <= maxWeight) }},
	{controlOnly, "in_force_ms", "must be from 2500 to 60000, because leases of 1.6 s must expire before a binding set takes effect", func(c Config) bool {
		return c.ActivationBound < minActivationBound || c.ActivationBound > maxActivationBound
	}},
	{proxyOnly, "grace_s", "must be from 2 to 600", func(c Config) bool {
		return c.ShutdownGrace < minShutdownGrace || c.ShutdownGrace > maxShutdownGrace
	}},
	{proxyOnly, "drain_ms", "must be from 1000 to 600000", func(c Config) bool {
		return c.InstanceDrain < minInstanceDrain || c.InstanceDrain > maxInstanceDrain
	}},
	{bothPrograms, "log_level", "must be trace, debug, info, warn or error", func(c Config) bool { return hclog.LevelFromString(c.LogLevel) == hclog.NoLevel }},
}

// validate returns an error for each constraint that is violated.
func validate(program Program, c Config) error {
	var failures error
	for _, constraint := range constraints {
		if slices.Contains(constraint.programs, program) && constraint.violated(c) {
			failures = multierr.Append(failures, errors.Errorf("/%s: %s", constraint.name, constraint.reason))
		}
	}
	return failures
}

// allowsSeedCount reports whether the number of seeds is valid: three, or one to
// three in modes other than ModeNative.
func allowsSeedCount(c Config) bool {
	return len(c.Seeds) == seedCount || (c.Mode != ModeNative && len(c.Seeds) > 0 && len(c.Seeds) < seedCount)
}

// IsIPPort reports whether a text is an IP address with a port.
func IsIPPort(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 0 && number <= maxPort
}

func isName(value string) bool {
	return value != "" && len(value) <= maxNameLength && !strings.ContainsFunc(value, func(char rune) bool { return !isNameRune(char) })
}

func isNameRune(char rune) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9' || strings.ContainsRune("-._", char)
}
