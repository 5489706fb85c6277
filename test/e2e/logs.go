package e2e

import (
	"os"
	"path/filepath"
	"strings"
)

// crashPrefixes are the texts with which the Go runtime's crash reports begin.
var crashPrefixes = []string{"panic:", "fatal error:"}

// CheckLogs searches the logs of processes for data races and crashes. It records a
// failure for each kind that a log contains.
func (r *Recorder) CheckLogs(directory string, processes []*Process) {
	for _, process := range processes {
		log, err := os.ReadFile(filepath.Join(directory, process.Name+".log"))
		if err != nil {
			continue
		}
		if HasProductRace(string(log)) {
			r.Errorf("%s: data race in its log", process.Name)
		}
		for _, prefix := range crashPrefixes {
			if strings.Contains(string(log), prefix) {
				r.Errorf("%s: %s in its log", process.Name, prefix)
			}
		}
	}
}

// HasProductRace reports whether a log contains a report of the race detector in which
// the product's own code accessed the memory. Reports that involve only the HTTP engine
// do not count, because the engine synchronizes in ways that the detector does not
// observe.
func HasProductRace(log string) bool {
	for _, report := range strings.Split(log, "WARNING: DATA RACE")[1:] {
		accessStacks, _, _ := strings.Cut(report, "Goroutine ")
		if strings.Contains(accessStacks, "tansyseam/internal") {
			return true
		}
	}
	return false
}
