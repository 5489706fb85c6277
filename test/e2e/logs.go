package e2e

import (
	"os"
	"path/filepath"
	"strings"
)

// crashMarks begin the runtime's reports of a crash.
var crashMarks = []string{"panic:", "fatal error:"}

// CheckLogs looks for races and crashes in the logs of processes, and records
// a failure for each.
func (r *Recorder) CheckLogs(directory string, processes []*Process) {
	for _, process := range processes {
		log, err := os.ReadFile(filepath.Join(directory, process.Name+".log"))
		if err != nil {
			continue
		}
		if HasProductRace(string(log)) {
			r.Errorf("%s: data race, see its log", process.Name)
		}
		for _, mark := range crashMarks {
			if strings.Contains(string(log), mark) {
				r.Errorf("%s: %s, see its log", process.Name, mark)
			}
		}
	}
}

// HasProductRace reports whether a log holds a report of the race detector that
// touches the product. Reports of the HTTP engine alone do not count: it syncs
// in ways that the detector does not see.
func HasProductRace(log string) bool {
	for _, report := range strings.Split(log, "WARNING: DATA RACE")[1:] {
		touched, _, _ := strings.Cut(report, "Goroutine ")
		if strings.Contains(touched, "tansyseam/internal") {
			return true
		}
	}
	return false
}
