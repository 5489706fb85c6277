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
const ErrSettings = errors.ConstError("settings cannot be used")

// Version is set by the build.
var Version = "dev"

// MannerPlatform is the users' platform's way of speaking.
const MannerPlatform = "platform"

// SeedLinks gives the link addresses of the seeds.
func (s Settings) SeedLinks() []string {
	if s.SeedPort == 0 {
		return s.Seeds
	}
	var links []string
	for _, seed := range s.Seeds {
		host, _, _ := net.SplitHostPort(seed)
		links = append(links, net.JoinHostPort(host, strconv.Itoa(s.SeedPort)))
	}
	return links
}

// Settings is all that a program is told of its place.
type Settings struct {
	Name          string
	Zone          string
	Link          string
	Door          string
	AdvertiseLink string
	AdvertiseDoor string
	Seeds         []string
	Data          string
	Disks         int
	Platform      string
	Weight        float64
	LogLevel      string
	IsJSON        bool
	// Manner names the way of speaking with clients, instances, operators and
	// platform: empty for the product's own.
	Manner string
	// Sessions is where clients' line sessions are taken.
	Sessions string
	// Losses is how many disk machines may be lost at once; 2 x Losses + 1 of
	// them vote. 0 where Disks says how many there are.
	Losses int
	// IsFounder says that a machine with a blank disk may found the fleet.
	IsFounder bool
	// IsFenced says that the platform refuses promote calls of a lower fence than
	// one that it has seen.
	IsFenced bool
	// SeedPort is the port of the seeds' links, where seeds names other doors
	// of theirs.
	SeedPort int
	// InForce is within how long of its taking a set is in force everywhere,
	// Grace how long a stop is waited for, Drain how long an instance serves on
	// after it was heard to leave.
	InForce, Grace, Drain time.Duration

	File    string
	IsCheck bool
}

type field struct {
	name   string
	kinds  []string
	help   string
	isLive bool
	put    func(*Settings, string) string
	get    func(Settings) string
}

func text(at func(*Settings) *string) (func(*Settings, string) string, func(Settings) string) {
	return func(s *Settings, value string) string { *at(s) = value; return "" },
		func(s Settings) string { return *at(&s) }
}

func textField(name, kinds, help string, isLive bool, at func(*Settings) *string) field {
	put, get := text(at)
	return field{name: name, kinds: strings.Split(kinds, " "), help: help, isLive: isLive, put: put, get: get}
}

const both = "seamd seamc"

func numberField(name, kinds, help string, at func(*Settings) *int) field {
	return field{
		name: name, kinds: strings.Split(kinds, " "), help: help,
		put: func(s *Settings, value string) string {
			number, err := strconv.Atoi(value)
			if err != nil {
				return "not a whole number"
			}
			*at(s) = number
			return ""
		},
		get: func(s Settings) string { return strconv.Itoa(*at(&s)) },
	}
}

func spanField(name, kinds, help string, unit time.Duration, at func(*Settings) *time.Duration) field {
	return field{
		name: name, kinds: strings.Split(kinds, " "), help: help,
		put: func(s *Settings, value string) string {
			number, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return "not a number"
			}
			*at(s) = time.Duration(number * float64(unit))
			return ""
		},
		get: func(s Settings) string { return strconv.FormatFloat(float64(*at(&s))/float64(unit), 'g', -1, 64) },
	}
}

func boolField(name, kinds, help string, at func(*Settings) *bool) field {
	return field{
		name: name, kinds: strings.Split(kinds, " "), help: help,
		put: func(s *Settings, value string) string {
			is, err := strconv.ParseBool(value)
			if err != nil {
				return "not true or false"
			}
			*at(s) = is
			return ""
		},
		get: func(s Settings) string { return strconv.FormatBool(*at(&s)) },
	}
}

var fields = []field{
	textField("name", both, "name of this node, unlike all others", false, func(s *Settings) *string { return &s.Name }),
	textField("zone", both, "zone that the machine stands in", false, func(s *Settings) *string { return &s.Zone }),
	textField("link", both, "IP:port on which the fleet's own processes are met", false, func(s *Settings) *string { return &s.Link }),
	textField("door", both, "IP:port on which calls over HTTP are taken", false, func(s *Settings) *string { return &s.Door }),
	textField("advertise_link", both, "IP:port told to others in place of link", false, func(s *Settings) *string { return &s.AdvertiseLink }),
	textField("advertise_door", both, "IP:port told to others in place of door", false, func(s *Settings) *string { return &s.AdvertiseDoor }),
	{
		name: "seeds", kinds: strings.Split(both, " "), help: "three link addresses of other processes, with commas between", isLive: true,
		put: func(s *Settings, value string) string {
			s.Seeds = nil
			for _, seed := range strings.Split(value, ",") {
				if seed = strings.TrimSpace(seed); seed != "" {
					s.Seeds = append(s.Seeds, seed)
				}
			}
			return ""
		},
		get: func(s Settings) string { return strings.Join(s.Seeds, ",") },
	},
	textField("data", "seamc", "data folder on the small disk", false, func(s *Settings) *string { return &s.Data }),
	numberField("disks", "seamc", "number of disk machines that form the control plane", func(s *Settings) *int { return &s.Disks }),
	numberField("losses", "seamc", "disk machines that may be lost at once, in place of disks", func(s *Settings) *int { return &s.Losses }),
	boolField("founder", "seamc", "true where a blank disk may found the fleet", func(s *Settings) *bool { return &s.IsFounder }),
	boolField("fenced", "seamc", "true where the platform checks the fences of promote calls", func(s *Settings) *bool { return &s.IsFenced }),
	textField("manner", both, "way of speaking with the world outside; empty for the product's own", false, func(s *Settings) *string { return &s.Manner }),
	textField("sessions", "seamd", "IP:port on which clients' line sessions are taken", false, func(s *Settings) *string { return &s.Sessions }),
	numberField("seed_port", both, "port of the seeds' links, where seeds names other doors of theirs", func(s *Settings) *int { return &s.SeedPort }),
	spanField("in_force_ms", "seamc", "within how long of its taking a set is in force everywhere", time.Millisecond, func(s *Settings) *time.Duration { return &s.InForce }),
	spanField("grace_s", "seamd", "how long a stop is waited for before the process is killed", time.Second, func(s *Settings) *time.Duration { return &s.Grace }),
	spanField("drain_ms", "seamd", "how long an instance serves on after it was heard to leave", time.Millisecond, func(s *Settings) *time.Duration { return &s.Drain }),
	textField("platform", "seamc", "IP:port of the platform's promote call", true, func(s *Settings) *string { return &s.Platform }),
	{
		name: "weight", kinds: []string{"seamd"}, help: "weight of this node; beta of its windows follows it", isLive: true,
		put: func(s *Settings, value string) string {
			number, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return "not a number"
			}
			s.Weight = number
			return ""
		},
		get: func(s Settings) string { return strconv.FormatFloat(s.Weight, 'g', -1, 64) },
	},
	textField("log_level", both, "trace, debug, info, warn or error", true, func(s *Settings) *string { return &s.LogLevel }),
	boolField("log_json", both, "true for logs as JSON lines", func(s *Settings) *bool { return &s.IsJSON }),
}

func fieldsOf(program string) []field {
	return slices.DeleteFunc(slices.Clone(fields), func(f field) bool { return !slices.Contains(f.kinds, program) })
}

func defaults() Settings {
	return Settings{Weight: 1, LogLevel: "info", InForce: 3 * time.Second, Grace: 6 * time.Second, Drain: 7 * time.Second}
}

// Parse reads the arguments of a program, then the file that they name.
// Flags win over the file.
func Parse(program string, args []string) (Settings, error) {
	parser := flaggy.NewParser(program)
	parser.Description = map[string]string{
		"seamd": "tansyseam's data plane: sessions in, capped connections out",
		"seamc": "tansyseam's control plane: bindings, epochs, the writer role",
	}[program]
	parser.Version = Version
	given := Settings{}
	parser.String(&given.File, "c", "config", "settings file (JSON)")
	parser.Bool(&given.IsCheck, "", "check", "check the settings, say what is wrong, and end")
	values := map[string]*string{}
	for _, f := range fieldsOf(program) {
		values[f.name] = new(string)
		parser.String(values[f.name], "", strings.ReplaceAll(f.name, "_", "-"), f.help)
	}
	if err := parser.ParseArgs(args); err != nil {
		return Settings{}, errors.WithType(err, ErrSettings)
	}
	flags := map[string]string{}
	for name, value := range values {
		if *value != "" {
			flags[name] = *value
		}
	}
	read, err := Load(program, given.File, flags)
	read.IsCheck = given.IsCheck
	return read, err
}

// Load reads the file under the flags and checks the whole.
func Load(program, file string, flags map[string]string) (Settings, error) {
	read := defaults()
	read.File = file
	var faults error
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return read, errors.WithType(err, ErrSettings)
		}
		faults = multierr.Append(faults, fill(program, &read, data))
	}
	for _, f := range fieldsOf(program) {
		value, isGiven := flags[f.name]
		if !isGiven {
			continue
		}
		if reason := f.put(&read, value); reason != "" {
			faults = multierr.Append(faults, errors.Errorf("--%s: %s", strings.ReplaceAll(f.name, "_", "-"), reason))
		}
	}
	faults = multierr.Append(faults, check(program, read))
	if faults != nil {
		return read, asBroken(faults)
	}
	if read.AdvertiseLink == "" {
		read.AdvertiseLink = read.Link
	}
	if read.AdvertiseDoor == "" {
		read.AdvertiseDoor = read.Door
	}
	return read, nil
}

func fill(program string, into *Settings, data []byte) error {
	value, err := fastjson.ParseBytes(data)
	if err != nil {
		return errors.Annotate(err, "settings file is not JSON")
	}
	object, err := value.Object()
	if err != nil {
		return errors.New("settings file must hold one object")
	}
	var faults error
	var twice []schema.Fault
	schema.Plain(value, "", &twice)
	for _, fault := range twice {
		faults = multierr.Append(faults, errors.Errorf("%s: %s", fault.Path, fault.Reason))
	}
	object.Visit(func(key []byte, item *fastjson.Value) {
		name := string(key)
		at := slices.IndexFunc(fields, func(f field) bool { return f.name == name && slices.Contains(f.kinds, program) })
		if at < 0 {
			faults = multierr.Append(faults, errors.Errorf("/%s: no such setting of %s", name, program))
			return
		}
		plain, reason := plainText(item)
		if reason == "" {
			reason = fields[at].put(into, plain)
		}
		if reason != "" {
			faults = multierr.Append(faults, errors.Errorf("/%s: %s", name, reason))
		}
	})
	return faults
}

func plainText(item *fastjson.Value) (string, string) {
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
func IsAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 0 && number < 65536
}

func isName(value string) bool {
	isOdd := func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '.' || r == '_')
	}
	return value != "" && len(value) <= 63 && strings.IndexFunc(value, isOdd) < 0
}

type rule struct {
	programs string
	name     string
	reason   string
	isBroken func(Settings) bool
}

var rules = []rule{
	{both, "name", "must be 1 to 63 letters, digits, '-', '.' or '_'", func(s Settings) bool { return !isName(s.Name) }},
	{both, "zone", "must be 1 to 63 letters, digits, '-', '.' or '_'", func(s Settings) bool { return !isName(s.Zone) }},
	{both, "link", "must be IP:port", func(s Settings) bool { return !IsAddress(s.Link) }},
	{both, "door", "must be IP:port", func(s Settings) bool { return !IsAddress(s.Door) }},
	{both, "door", "must not be the link's address", func(s Settings) bool { return s.Door != "" && s.Door == s.Link }},
	{both, "advertise_link", "must be IP:port", func(s Settings) bool { return s.AdvertiseLink != "" && !IsAddress(s.AdvertiseLink) }},
	{both, "advertise_door", "must be IP:port", func(s Settings) bool { return s.AdvertiseDoor != "" && !IsAddress(s.AdvertiseDoor) }},
	{both, "seeds", "must be three addresses, each IP:port; one to three in another manner", func(s Settings) bool {
		isMany := len(s.Seeds) == 3 || (s.Manner != "" && len(s.Seeds) > 0 && len(s.Seeds) < 3)
		return !isMany || slices.ContainsFunc(s.Seeds, func(seed string) bool { return !IsAddress(seed) })
	}},
	{both, "manner", "must be empty or platform", func(s Settings) bool { return s.Manner != "" && s.Manner != MannerPlatform }},
	{"seamd", "sessions", "must be IP:port, and is given with a manner only", func(s Settings) bool {
		return (s.Manner != "" && !IsAddress(s.Sessions)) || (s.Manner == "" && s.Sessions != "")
	}},
	{both, "seed_port", "must be from 1 to 65535", func(s Settings) bool { return s.SeedPort < 0 || s.SeedPort > 65535 }},
	{"seamc", "data", "must name the data folder", func(s Settings) bool { return s.Data == "" }},
	{"seamc", "disks", "must be an odd number from 3 to 9", func(s Settings) bool {
		return s.Losses == 0 && (s.Disks < 3 || s.Disks > 9 || s.Disks%2 == 0)
	}},
	{"seamc", "losses", "must be from 1 to 4, and not beside disks", func(s Settings) bool {
		return s.Losses < 0 || s.Losses > 4 || (s.Losses > 0 && s.Disks > 0)
	}},
	{"seamc", "platform", "must be IP:port", func(s Settings) bool { return !IsAddress(s.Platform) }},
	{"seamd", "weight", "must be from 0.1 to 100", func(s Settings) bool { return !(s.Weight >= 0.1 && s.Weight <= 100) }},
	{"seamc", "in_force_ms", "must be from 2500, since leases of 1.6 s end before, to 60000", func(s Settings) bool { return s.InForce < 2500*time.Millisecond || s.InForce > time.Minute }},
	{"seamd", "grace_s", "must be from 2 to 600", func(s Settings) bool { return s.Grace < 2*time.Second || s.Grace > 10*time.Minute }},
	{"seamd", "drain_ms", "must be from 1000 to 600000", func(s Settings) bool { return s.Drain < time.Second || s.Drain > 10*time.Minute }},
	{both, "log_level", "must be trace, debug, info, warn or error", func(s Settings) bool { return hclog.LevelFromString(s.LogLevel) == hclog.NoLevel }},
}

func check(program string, s Settings) error {
	var faults error
	for _, r := range rules {
		if strings.Contains(r.programs, program) && r.isBroken(s) {
			faults = multierr.Append(faults, errors.Errorf("/%s: %s", r.name, r.reason))
		}
	}
	return faults
}

// Broken is the error of settings that cannot be used, with every reason.
type Broken struct{ Reasons []string }

func (b *Broken) Error() string { return "settings cannot be used: " + strings.Join(b.Reasons, "; ") }

// Faults lists every reason behind an error of Parse or Load.
func Faults(err error) []string {
	var broken *Broken
	if errors.As(err, &broken) {
		return broken.Reasons
	}
	return []string{err.Error()}
}

func asBroken(faults error) error {
	var reasons []string
	for _, one := range multierr.Errors(faults) {
		reasons = append(reasons, one.Error())
	}
	return errors.WithType(&Broken{Reasons: reasons}, ErrSettings)
}

// Change compares new settings with those in force: the names that differ
// and may change while running, and those that need a restart.
func Change(program string, old, new Settings) (live, fixed []string) {
	for _, f := range fieldsOf(program) {
		if f.get(old) == f.get(new) {
			continue
		}
		if f.isLive {
			live = append(live, f.name)
			continue
		}
		fixed = append(fixed, f.name)
	}
	return live, fixed
}

// Adopt takes the live fields of new into old.
func Adopt(program string, old, new Settings) Settings {
	for _, f := range fieldsOf(program) {
		if f.isLive {
			f.put(&old, f.get(new))
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
func Flags(program string, args []string) map[string]string {
	flags := map[string]string{}
	for _, f := range fieldsOf(program) {
		name := "--" + strings.ReplaceAll(f.name, "_", "-")
		for at, arg := range args {
			if arg == name && at+1 < len(args) {
				flags[f.name] = args[at+1]
			}
			if value, isJoined := strings.CutPrefix(arg, name+"="); isJoined {
				flags[f.name] = value
			}
		}
	}
	return flags
}
