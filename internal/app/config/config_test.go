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
	Convey("Valid flags are accepted, and the advertised addresses default to the listen addresses", t, func() {
		loaded, err := Load(Proxy, "", validFlags)
		So(err, ShouldBeNil)
		So(loaded.AdvertiseRPCAddress, ShouldEqual, "127.0.0.1:1")
		So(loaded.Weight, ShouldEqual, 1)
	})
	Convey("All errors in the file and in the flags are reported together", t, func() {
		file := write(`{"name":"bad name","zone":1,"disks":4,"seeds":["127.0.0.1:1","nowhere"],"link":"host:1","extra":true,"weight":{},"link":"x"}`)
		_, err := Load(Control, file, map[string]string{"disks": "many", "log_level": "loud"})
		reasons := strings.Join(Reasons(err), "\n")
		for _, part := range []string{"/name", "/extra", "/link", "/seeds", "--disks", "/data", "/platform", "/log_level", "/door", "twice", "/weight: no such setting of tansyseam-control"} {
			So(reasons, ShouldContainSubstring, part)
		}
		So(len(Reasons(err)), ShouldBeGreaterThanOrEqualTo, 10)
	})
	Convey("A file that is missing or is not a JSON object is an error", t, func() {
		_, err := Load(Proxy, write(`[1]`), validFlags)
		So(Reasons(err)[0], ShouldContainSubstring, "one object")
		_, err = Load(Proxy, filepath.Join(t.TempDir(), "none"), validFlags)
		So(err, ShouldNotBeNil)
	})
	Convey("Flags take precedence over the file, on a reload too", t, func() {
		file := write(`{"weight":3,"zone":"zz"}`)
		loaded, err := Load(Proxy, file, validFlags)
		So(err, ShouldBeNil)
		So(loaded.Weight, ShouldEqual, 3)
		So(loaded.Zone, ShouldEqual, "za")
		So(FlagValues(Proxy, []string{"--zone", "za", "--weight=2", "--check"}), ShouldResemble, map[string]string{"zone": "za", "weight": "2"})
	})
	Convey("Changed settings are split into those that can change at run time and those that need a restart", t, func() {
		old, _ := Load(Proxy, "", validFlags)
		new := old
		new.Weight, new.Zone, new.LogLevel = 4, "zb", "debug"
		live, needRestart := Diff(Proxy, old, new)
		So(live, ShouldResemble, []string{"weight", "log_level"})
		So(needRestart, ShouldResemble, []string{"zone"})
		applied := ApplyLive(Proxy, old, new)
		So(applied.Weight, ShouldEqual, 4)
		So(applied.Zone, ShouldEqual, "za")
	})
}

func TestFlagsOfReload(t *testing.T) {
	var requiredArgs []string
	for name, value := range validFlags {
		requiredArgs = append(requiredArgs, "--"+name, value)
	}
	for _, flags := range [][]string{
		{"--weight", "2"}, {"--weight=2"}, {"-weight", "2"}, {"-weight=2"}, {"--weight=3", "--weight", "2"},
		{"--weight=2", "--log-level="}, {"--check", "--weight", "2"},
	} {
		Convey("A reload parses the flags in the same way as the start of the program: "+strings.Join(flags, " "), t, func() {
			args := append(slices.Clone(requiredArgs), flags...)
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
	Convey("Durations have defaults, are parsed in the unit in their name, and must be within their bounds", t, func() {
		loaded, err := Load(Proxy, "", validFlags)
		So(err, ShouldBeNil)
		So([]time.Duration{loaded.ShutdownGrace, loaded.InstanceDrain}, ShouldResemble, []time.Duration{6 * time.Second, 7 * time.Second})
		flags := maps.Clone(validFlags)
		flags["grace_s"], flags["drain_ms"] = "4.5", "5000"
		loaded, err = Load(Proxy, "", flags)
		So(err, ShouldBeNil)
		So([]time.Duration{loaded.ShutdownGrace, loaded.InstanceDrain}, ShouldResemble, []time.Duration{4500 * time.Millisecond, 5 * time.Second})
		flags["grace_s"], flags["drain_ms"] = "1", "soon"
		_, err = Load(Proxy, "", flags)
		reasons := strings.Join(Reasons(err), "\n")
		So(reasons, ShouldContainSubstring, "/grace_s: must be")
		So(reasons, ShouldContainSubstring, "--drain-ms: not a number")
		_, err = Load(Control, "", map[string]string{"in_force_ms": "1000"})
		So(strings.Join(Reasons(err), "\n"), ShouldContainSubstring, "/in_force_ms: must be")
	})
}

func TestSettingsAreDocumented(t *testing.T) {
	Convey("Every setting has a help text and a row in docs/settings.md with the name in its first column", t, func() {
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
