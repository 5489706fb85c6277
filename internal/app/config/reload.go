package config

import (
	"crypto/sha256"
	"fmt"
	"os"
)

// Diff compares a loaded configuration with the one in force. It returns the names
// of the settings that differ: those that can change while the program runs, and
// those that need a restart.
func Diff(program Program, old, loaded Config) (live, needRestart []string) {
	for _, s := range settingsOf(program) {
		if s.format(old) == s.format(loaded) {
			continue
		}
		if s.reloadable {
			live = append(live, s.name)
			continue
		}
		needRestart = append(needRestart, s.name)
	}
	return live, needRestart
}

// ApplyLive returns the old configuration, updated with those settings of the
// loaded one that can change while the program runs.
func ApplyLive(program Program, old, loaded Config) Config {
	for _, s := range settingsOf(program) {
		if s.reloadable {
			// The error is ignored: parse accepts every text that format writes.
			_ = s.parse(&old, s.format(loaded))
		}
	}
	return old
}

// Fingerprint returns a digest of a file, which changes if the content does. It is
// empty if the file cannot be read.
func Fingerprint(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%x", sha256.Sum256(data))
}
