// Package config reads a program's place and manner from flags and file,
// and checks both, giving every fault at once.
package config

import (
	"crypto/sha256"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"
	"github.com/juju/errors"
	"github.com/valyala/fastjson"
	"go.uber.org/multierr"

	"tansyseam/internal/protocol/schema"
)

// ErrSettings marks settings that cannot be used.
const ErrInvalid = errors.ConstError("settings cannot be used")

// Version is set by the build.
var Version = "dev"

// MannerPlatform is the users' platform's way of speaking.
const ModePlatform = "platform"

// SeedLinks gives the link addresses of the seeds.
func (c Config) SeedRPCAddresses() []string {
	if c.SeedRPCPort == 0 {
		return c.Seeds
	}
	var links []string
	for _, seed := range c.Seeds {
		host, _, _ := net.SplitHostPort(seed)
		links = append(links, net.JoinHostPort(host, strconv.Itoa(c.SeedRPCPort)))
	}
	return links
}

// Settings is all that a program is told of its place.
type Config struct {
	Name                 string
	Zone                 string
	RPCAddress           string
	HTTPAddress          string
	AdvertiseRPCAddress  string
	AdvertiseHTTPAddress string
	Seeds                []string
	DataDir              string
	ControlNodes         int
	PlatformAddress      string
	Weight               float64
	LogLevel             string
	LogJSON              bool
	// Manner names the way of speaking with clients, instances, operators and
	// platform: empty for the product's own.
	Mode string
	// Sessions is where clients' line sessions are taken.
	LineAddress string
	// Losses is how many disk machines may be lost at once; 2 x Losses + 1 of
	// them vote. 0 where Disks says how many there are.
	TolerableLosses int
	// IsFounder says that a machine with a blank disk may found the fleet.
	Bootstrap bool
	// IsFenced says that the platform refuses promote calls of a lower fence than
	// one that it has seen.
	PlatformChecksFences bool
	// SeedPort is the port of the seeds' links, where seeds names other doors
	// of theirs.
	SeedRPCPort int
	// InForce is within how long of its taking a set is in force everywhere,
	// Grace how long a stop is waited for, Drain how long an instance serves on
	// after it was heard to leave.
	ActivationBound, ShutdownGrace, InstanceDrain time.Duration

	File      string
	CheckOnly bool
}

type setting struct {
	name       string
	programs   []string
	help       string
	reloadable bool
	parse      func(*Config, string) string
	format     func(Config) string
}

func stringAccessors(at func(*Config) *string) (func(*Config, string) string, func(Config) string) {
	return func(c *Config, value string) string { *at(c) = value; return "" },
		func(c Config) string { return *at(&c) }
}

func stringSetting(name, kinds, help string, reloadable bool, at func(*Config) *string) setting {
	put, get := stringAccessors(at)
	return setting{name: name, programs: strings.Split(kinds, " "), help: help, reloadable: reloadable, parse: put, format: get}
}

const allPrograms = "seamd seamc"

func intSetting(name, kinds, help string, at func(*Config) *int) setting {
	return setting{
		name: name, programs: strings.Split(kinds, " "), help: help,
		parse: func(c *Config, value string) string {
			number, err := strconv.Atoi(value)
			if err != nil {
				return "not a whole number"
			}
			*at(c) = number
			return ""
		},
		format: func(c Config) string { return strconv.Itoa(*at(&c)) },
	}
}

func durationSetting(name, kinds, help string, unit time.Duration, at func(*Config) *time.Duration) setting {
	return setting{
		name: name, programs: strings.Split(kinds, " "), help: help,
		parse: func(c *Config, value string) string {
			number, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return "not a number"
			}
			*at(c) = time.Duration(number * float64(unit))
			return ""
		},
		format: func(c Config) string { return strconv.FormatFloat(float64(*at(&c))/float64(unit), 'g', -1, 64) },
	}
}

func boolSetting(name, kinds, help string, at func(*Config) *bool) setting {
	return setting{
		name: name, programs: strings.Split(kinds, " "), help: help,
		parse: func(c *Config, value string) string {
			parsed, err := strconv.ParseBool(value)
			if err != nil {
				return "not true or false"
			}
			*at(c) = parsed
			return ""
		},
		format: func(c Config) string { return strconv.FormatBool(*at(&c)) },
	}
}

var settings = []setting{
	stringSetting("name", allPrograms, "name of this node, unlike all others", false, func(c *Config) *string { return &c.Name }),
	stringSetting("zone", allPrograms, "zone that the machine stands in", false, func(c *Config) *string { return &c.Zone }),
	stringSetting("link", allPrograms, "IP:port on which the fleet's own processes are met", false, func(c *Config) *string { return &c.RPCAddress }),
	stringSetting("door", allPrograms, "IP:port on which calls over HTTP are taken", false, func(c *Config) *string { return &c.HTTPAddress }),
	stringSetting("advertise_link", allPrograms, "IP:port told to others in place of link", false, func(c *Config) *string { return &c.AdvertiseRPCAddress }),
	stringSetting("advertise_door", allPrograms, "IP:port told to others in place of door", false, func(c *Config) *string { return &c.AdvertiseHTTPAddress }),
	{
		name: "seeds", programs: strings.Split(allPrograms, " "), help: "three link addresses of other processes, with commas between", reloadable: true,
		parse: func(c *Config, value string) string {
			c.Seeds = nil
			for _, seed := range strings.Split(value, ",") {
				if seed = strings.TrimSpace(seed); seed != "" {
					c.Seeds = append(c.Seeds, seed)
				}
			}
			return ""
		},
		format: func(c Config) string { return strings.Join(c.Seeds, ",") },
	},
	stringSetting("data", "seamc", "data folder on the small disk", false, func(c *Config) *string { return &c.DataDir }),
	intSetting("disks", "seamc", "number of disk machines that form the control plane", func(c *Config) *int { return &c.ControlNodes }),
	intSetting("losses", "seamc", "disk machines that may be lost at once, in place of disks", func(c *Config) *int { return &c.TolerableLosses }),
	boolSetting("founder", "seamc", "true where a blank disk may found the fleet", func(c *Config) *bool { return &c.Bootstrap }),
	boolSetting("fenced", "seamc", "true where the platform checks the fences of promote calls", func(c *Config) *bool { return &c.PlatformChecksFences }),
	stringSetting("manner", allPrograms, "way of speaking with the world outside; empty for the product's own", false, func(c *Config) *string { return &c.Mode }),
	stringSetting("sessions", "seamd", "IP:port on which clients' line sessions are taken", false, func(c *Config) *string { return &c.LineAddress }),
	intSetting("seed_port", allPrograms, "port of the seeds' links, where seeds names other doors of theirs", func(c *Config) *int { return &c.SeedRPCPort }),
	durationSetting("in_force_ms", "seamc", "within how long of its taking a set is in force everywhere", time.Millisecond, func(c *Config) *time.Duration { return &c.ActivationBound }),
	durationSetting("grace_s", "seamd", "how long a stop is waited for before the process is killed", time.Second, func(c *Config) *time.Duration { return &c.ShutdownGrace }),
	durationSetting("drain_ms", "seamd", "how long an instance serves on after it was heard to leave", time.Millisecond, func(c *Config) *time.Duration { return &c.InstanceDrain }),
	stringSetting("platform", "seamc", "IP:port of the platform's promote call", true, func(c *Config) *string { return &c.PlatformAddress }),
	{
		name: "weight", programs: []string{"seamd"}, help: "weight of this node; beta of its windows follows it", reloadable: true,
		parse: func(c *Config, value string) string {
			number, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return "not a number"
			}
			c.Weight = number
			return ""
		},
		format: func(c Config) string { return strconv.FormatFloat(c.Weight, 'g', -1, 64) },
	},
	stringSetting("log_level", allPrograms, "trace, debug, info, warn or error", true, func(c *Config) *string { return &c.LogLevel }),
	boolSetting("log_json", allPrograms, "true for logs as JSON lines", func(c *Config) *bool { return &c.LogJSON }),
}

func settingsOf(program string) []setting {
	return slices.DeleteFunc(slices.Clone(settings), func(f setting) bool { return !slices.Contains(f.programs, program) })
}

func defaults() Config {
	return Config{Weight: 1, LogLevel: "info", ActivationBound: 3 * time.Second, ShutdownGrace: 6 * time.Second, InstanceDrain: 7 * time.Second}
}

// Parse reads the arguments of a program, then the file that they name.
// Flags win over the file.
func Parse(program string, args []string) (Config, error) {
	parser := flaggy.NewParser(program)
	parser.Description = map[string]string{
		"seamd": "tansyseam's data plane: sessions in, capped connections out",
		"seamc": "tansyseam's control plane: bindings, epochs, the writer role",
	}[program]
	parser.Version = Version
	given := Config{}
	parser.String(&given.File, "c", "config", "settings file (JSON)")
	parser.Bool(&given.CheckOnly, "", "check", "check the settings, say what is wrong, and end")
	values := map[string]*string{}
	for _, f := range settingsOf(program) {
		values[f.name] = new(string)
		parser.String(values[f.name], "", strings.ReplaceAll(f.name, "_", "-"), f.help)
	}
	if err := parser.ParseArgs(args); err != nil {
		return Config{}, errors.WithType(err, ErrInvalid)
	}
	flags := map[string]string{}
	for name, value := range values {
		if *value != "" {
			flags[name] = *value
		}
	}
	loaded, err := Load(program, given.File, flags)
	loaded.CheckOnly = given.CheckOnly
	return loaded, err
}

// Load reads the file under the flags and checks the whole.
func Load(program, file string, flags map[string]string) (Config, error) {
	loaded := defaults()
	loaded.File = file
	var failures error
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return loaded, errors.WithType(err, ErrInvalid)
		}
		failures = multierr.Append(failures, applyFile(program, &loaded, data))
	}
	for _, f := range settingsOf(program) {
		value, found := flags[f.name]
		if !found {
			continue
		}
		if reason := f.parse(&loaded, value); reason != "" {
			failures = multierr.Append(failures, errors.Errorf("--%s: %s", strings.ReplaceAll(f.name, "_", "-"), reason))
		}
	}
	failures = multierr.Append(failures, validate(program, loaded))
	if failures != nil {
		return loaded, newInvalidError(failures)
	}
	if loaded.AdvertiseRPCAddress == "" {
		loaded.AdvertiseRPCAddress = loaded.RPCAddress
	}
	if loaded.AdvertiseHTTPAddress == "" {
		loaded.AdvertiseHTTPAddress = loaded.HTTPAddress
	}
	return loaded, nil
}

func applyFile(program string, into *Config, data []byte) error {
	value, err := fastjson.ParseBytes(data)
	if err != nil {
		return errors.Annotate(err, "settings file is not JSON")
	}
	object, err := value.Object()
	if err != nil {
		return errors.New("settings file must hold one object")
	}
	var failures error
	var duplicates []schema.Violation
	schema.Decode(value, "", &duplicates)
	for _, fault := range duplicates {
		failures = multierr.Append(failures, errors.Errorf("%s: %s", fault.Path, fault.Reason))
	}
	object.Visit(func(key []byte, item *fastjson.Value) {
		name := string(key)
		at := slices.IndexFunc(settings, func(f setting) bool { return f.name == name && slices.Contains(f.programs, program) })
		if at < 0 {
			failures = multierr.Append(failures, errors.Errorf("/%s: no such setting of %s", name, program))
			return
		}
		scalar, reason := scalarText(item)
		if reason == "" {
			reason = settings[at].parse(into, scalar)
		}
		if reason != "" {
			failures = multierr.Append(failures, errors.Errorf("/%s: %s", name, reason))
		}
	})
	return failures
}

func scalarText(item *fastjson.Value) (string, string) {
	if list, err := item.Array(); err == nil {
		var parts []string
		for _, part := range list {
			one, err := part.StringBytes()
			if err != nil {
				return "", "list must hold strings"
			}
			parts = append(parts, string(one))
		}
		return strings.Join(parts, ","), ""
	}
	if one, err := item.StringBytes(); err == nil {
		return string(one), ""
	}
	if item.Type() == fastjson.TypeObject || item.Type() == fastjson.TypeNull {
		return "", "must be a string, number, boolean or list of strings"
	}
	return item.String(), ""
}

// IsAddress says whether a text is an IP with a port.
func IsIPPort(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 0 && number < 65536
}

func isName(value string) bool {
	invalid := func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '.' || r == '_')
	}
	return value != "" && len(value) <= 63 && strings.IndexFunc(value, invalid) < 0
}

type constraint struct {
	programs string
	name     string
	reason   string
	violated func(Config) bool
}

var constraints = []constraint{
	{allPrograms, "name", "must be 1 to 63 letters, digits, '-', '.' or '_'", func(c Config) bool { return !isName(c.Name) }},
	{allPrograms, "zone", "must be 1 to 63 letters, digits, '-', '.' or '_'", func(c Config) bool { return !isName(c.Zone) }},
	{allPrograms, "link", "must be IP:port", func(c Config) bool { return !IsIPPort(c.RPCAddress) }},
	{allPrograms, "door", "must be IP:port", func(c Config) bool { return !IsIPPort(c.HTTPAddress) }},
	{allPrograms, "door", "must not be the link's address", func(c Config) bool { return c.HTTPAddress != "" && c.HTTPAddress == c.RPCAddress }},
	{allPrograms, "advertise_link", "must be IP:port", func(c Config) bool { return c.AdvertiseRPCAddress != "" && !IsIPPort(c.AdvertiseRPCAddress) }},
	{allPrograms, "advertise_door", "must be IP:port", func(c Config) bool { return c.AdvertiseHTTPAddress != "" && !IsIPPort(c.AdvertiseHTTPAddress) }},
	{allPrograms, "seeds", "must be three addresses, each IP:port; one to three in another manner", func(c Config) bool {
		countAllowed := len(c.Seeds) == 3 || (c.Mode != "" && len(c.Seeds) > 0 && len(c.Seeds) < 3)
		return !countAllowed || slices.ContainsFunc(c.Seeds, func(seed string) bool { return !IsIPPort(seed) })
	}},
	{allPrograms, "manner", "must be empty or platform", func(c Config) bool { return c.Mode != "" && c.Mode != ModePlatform }},
	{"seamd", "sessions", "must be IP:port, and is given with a manner only", func(c Config) bool {
		return (c.Mode != "" && !IsIPPort(c.LineAddress)) || (c.Mode == "" && c.LineAddress != "")
	}},
	{allPrograms, "seed_port", "must be from 1 to 65535", func(c Config) bool { return c.SeedRPCPort < 0 || c.SeedRPCPort > 65535 }},
	{"seamc", "data", "must name the data folder", func(c Config) bool { return c.DataDir == "" }},
	{"seamc", "disks", "must be an odd number from 3 to 9", func(c Config) bool {
		return c.TolerableLosses == 0 && (c.ControlNodes < 3 || c.ControlNodes > 9 || c.ControlNodes%2 == 0)
	}},
	{"seamc", "losses", "must be from 1 to 4, and not beside disks", func(c Config) bool {
		return c.TolerableLosses < 0 || c.TolerableLosses > 4 || (c.TolerableLosses > 0 && c.ControlNodes > 0)
	}},
	{"seamc", "platform", "must be IP:port", func(c Config) bool { return !IsIPPort(c.PlatformAddress) }},
	{"seamd", "weight", "must be from 0.1 to 100", func(c Config) bool { return !(c.Weight >= 0.1 && c.Weight <= 100) }},
	{"seamc", "in_force_ms", "must be from 2500, since leases of 1.6 s end before, to 60000", func(c Config) bool {
		return c.ActivationBound < 2500*time.Millisecond || c.ActivationBound > time.Minute
	}},
	{"seamd", "grace_s", "must be from 2 to 600", func(c Config) bool { return c.ShutdownGrace < 2*time.Second || c.ShutdownGrace > 10*time.Minute }},
	{"seamd", "drain_ms", "must be from 1000 to 600000", func(c Config) bool { return c.InstanceDrain < time.Second || c.InstanceDrain > 10*time.Minute }},
	{allPrograms, "log_level", "must be trace, debug, info, warn or error", func(c Config) bool { return hclog.LevelFromString(c.LogLevel) == hclog.NoLevel }},
}

func validate(program string, c Config) error {
	var failures error
	for _, r := range constraints {
		if strings.Contains(r.programs, program) && r.violated(c) {
			failures = multierr.Append(failures, errors.Errorf("/%s: %s", r.name, r.reason))
		}
	}
	return failures
}

// Broken is the error of settings that cannot be used, with every reason.
type InvalidError struct{ Reasons []string }

func (b *InvalidError) Error() string {
	return "settings cannot be used: " + strings.Join(b.Reasons, "; ")
}

// Faults lists every reason behind an error of Parse or Load.
func Reasons(err error) []string {
	var broken *InvalidError
	if errors.As(err, &broken) {
		return broken.Reasons
	}
	return []string{err.Error()}
}

func newInvalidError(failures error) error {
	var reasons []string
	for _, one := range multierr.Errors(failures) {
		reasons = append(reasons, one.Error())
	}
	return errors.WithType(&InvalidError{Reasons: reasons}, ErrInvalid)
}

// Change compares new settings with those in force: the names that differ
// and may change while running, and those that need a restart.
func Diff(program string, old, new Config) (live, fixed []string) {
	for _, f := range settingsOf(program) {
		if f.format(old) == f.format(new) {
			continue
		}
		if f.reloadable {
			live = append(live, f.name)
			continue
		}
		fixed = append(fixed, f.name)
	}
	return live, fixed
}

// Adopt takes the live fields of new into old.
func ApplyLive(program string, old, new Config) Config {
	for _, f := range settingsOf(program) {
		if f.reloadable {
			f.parse(&old, f.format(new))
		}
	}
	return old
}

// Fingerprint is one digest of a file, by which a change is noticed.
func Fingerprint(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%x", sha256.Sum256(data))
}

// Flags gives back the flag values that stand over the file, for reloads.
func FlagValues(program string, args []string) map[string]string {
	flags := map[string]string{}
	for _, f := range settingsOf(program) {
		name := "--" + strings.ReplaceAll(f.name, "_", "-")
		for at, arg := range args {
			if arg == name && at+1 < len(args) {
				flags[f.name] = args[at+1]
			}
			if value, joined := strings.CutPrefix(arg, name+"="); joined {
				flags[f.name] = value
			}
		}
	}
	return flags
}
