package config

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var validFlags = map[string]string{
	"name": "d1", "zone": "za", "link": "127.0.0.1:1", "door": "127.0.0.1:2", "seeds": "127.0.0.1:1,127.0.0.1:3,127.0.0.1:4",
}

func TestConfig(t *testing.T) {
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	Convey("Valid flags are accepted, and the advertised addresses default to those listened on", t, func() {
		loaded, err := Load(Proxy, "", validFlags)
		So(err, ShouldBeNil)
		So(loaded.AdvertiseRPCAddress, ShouldEqual, "127.0.0.1:1")
		So(loaded.Weight, ShouldEqual, 1)
	})
	Convey("Every failure in file and flags is reported at once", t, func() {
		file := write(`{"name":"bad name","zone":1,"disks":4,"seeds":["127.0.0.1:1","nowhere"],"link":"host:1","extra":true,"weight":{},"link":"x"}`)
		_, err := Load(Control, file, map[string]string{"disks": "many", "log_level": "loud"})
		all := strings.Join(Reasons(err), "\n")
		for _, part := range []string{"/name", "/extra", "/link", "/seeds", "--disks", "/data", "/platform", "/log_level", "/door", "twice", "/weight: no such setting of tansyseam-control"} {
			So(all, ShouldContainSubstring, part)
		}
		So(len(Reasons(err)), ShouldBeGreaterThanOrEqualTo, 10)
	})
	Convey("A file that is no JSON object, or that is missing, is reported", t, func() {
		_, err := Load(Proxy, write(`[1]`), validFlags)
		So(Reasons(err)[0], ShouldContainSubstring, "one object")
		_, err = Load(Proxy, filepath.Join(t.TempDir(), "none"), validFlags)
		So(err, ShouldNotBeNil)
	})
	Convey("Flags take precedence over the file, also on a reload", t, func() {
		file := write(`{"weight":3,"zone":"zz"}`)
		loaded, err := Load(Proxy, file, validFlags)
		So(err, ShouldBeNil)
		So(loaded.Weight, ShouldEqual, 3)
		So(loaded.Zone, ShouldEqual, "za")
		So(FlagValues(Proxy, []string{"--zone", "za", "--weight=2", "--check"}), ShouldResemble, map[string]string{"zone": "za", "weight": "2"})
	})
	Convey("A change is split into what may change while running and what needs a restart", t, func() {
		old, _ := Load(Proxy, "", validFlags)
		new := old
		new.Weight, new.Zone, new.LogLevel = 4, "zb", "debug"
		live, fixed := Diff(Proxy, old, new)
		So(live, ShouldResemble, []string{"weight", "log_level"})
		So(fixed, ShouldResemble, []string{"zone"})
		adopted := ApplyLive(Proxy, old, new)
		So(adopted.Weight, ShouldEqual, 4)
		So(adopted.Zone, ShouldEqual, "za")
	})
}

func TestFlagsOfReload(t *testing.T) {
	var fixed []string
	for name, value := range validFlags {
		fixed = append(fixed, "--"+name, value)
	}
	for _, given := range [][]string{
		{"--weight", "2"}, {"--weight=2"}, {"-weight", "2"}, {"-weight=2"}, {"--weight=3", "--weight", "2"},
		{"--weight=2", "--log-level="}, {"--check", "--weight", "2"},
	} {
		Convey("A reload reads the flags as the start did: "+strings.Join(given, " "), t, func() {
			args := append(slices.Clone(fixed), given...)
			started, err := Parse(Proxy, args)
			So(err, ShouldBeNil)
			So(started.Weight, ShouldEqual, 2)
			reloaded, err := Load(Proxy, "", FlagValues(Proxy, args))
			So(err, ShouldBeNil)
			reloaded.CheckOnly = started.CheckOnly
			So(reloaded, ShouldResemble, started)
		})
	}
}

func TestDurationBounds(t *testing.T) {
	Convey("Durations are read in the unit that their name gives, have defaults, and must lie within their bounds", t, func() {
		loaded, err := Load(Proxy, "", validFlags)
		So(err, ShouldBeNil)
		So([]time.Duration{loaded.ShutdownGrace, loaded.InstanceDrain}, ShouldResemble, []time.Duration{6 * time.Second, 7 * time.Second})
		given := maps.Clone(validFlags)
		given["grace_s"], given["drain_ms"] = "4.5", "5000"
		loaded, err = Load(Proxy, "", given)
		So(err, ShouldBeNil)
		So([]time.Duration{loaded.ShutdownGrace, loaded.InstanceDrain}, ShouldResemble, []time.Duration{4500 * time.Millisecond, 5 * time.Second})
		given["grace_s"], given["drain_ms"] = "1", "soon"
		_, err = Load(Proxy, "", given)
		all := strings.Join(Reasons(err), "\n")
		So(all, ShouldContainSubstring, "/grace_s: must be")
		So(all, ShouldContainSubstring, "--drain-ms: not a number")
		_, err = Load(Control, "", map[string]string{"in_force_ms": "1000"})
		So(strings.Join(Reasons(err), "\n"), ShouldContainSubstring, "/in_force_ms: must be")
	})
}

func TestSettingsAreDocumented(t *testing.T) {
	Convey("Every setting has a help text, and a row in docs/settings.md that names it first", t, func() {
		page, err := os.ReadFile("../../../docs/settings.md")
		So(err, ShouldBeNil)
		documented := map[string]bool{}
		for _, line := range strings.Split(string(page), "\n") {
			if cells := strings.Split(line, "|"); len(cells) > 1 {
				for _, name := range strings.Split(cells[1], ",") {
					documented[strings.TrimSpace(name)] = true
				}
			}
		}
		for _, s := range settings {
			So(s.help, ShouldNotBeBlank)
			SoMsg(s.name, documented[s.name], ShouldBeTrue)
		}
	})
}
