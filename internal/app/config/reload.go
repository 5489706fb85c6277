package config

import (
	"crypto/sha256"
	"fmt"
	"os"
)

// Diff compares a loaded configuration with the one in force, and names the
// settings that differ: those that may change while the program runs, and those
// that need a restart.
func Diff(program Program, old, loaded Config) (live, fixed []string) {
	for _, s := range settingsOf(program) {
		if s.format(old) == s.format(loaded) {
			continue
		}
		if s.reloadable {
			live = append(live, s.name)
			continue
		}
		fixed = append(fixed, s.name)
	}
	return live, fixed
}

// ApplyLive gives the old configuration with those settings of the loaded one
// that may change while the program runs.
func ApplyLive(program Program, old, loaded Config) Config {
	for _, s := range settingsOf(program) {
		if s.reloadable {
			// What format writes, parse reads.
			_ = s.parse(&old, s.format(loaded))
		}
	}
	return old
}

// Fingerprint gives a digest of a file, by which a change is noticed; it is
// empty where the file cannot be read.
func Fingerprint(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%x", sha256.Sum256(data))
}
