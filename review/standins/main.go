// Command standins plays a small deployment of the users around the project's own
// programs: a database service, the platform, an operator and clients. It runs one case
// of the review and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scene is the environment of a case.
type scene struct {
	record    *Record
	root      string
	directory string
	trouble   bool
	// replace is true if the case "reset" replaces a control machine.
	replace bool
	// fleet is set once its processes may run, so that a signal ends them too.
	fleet atomic.Pointer[Fleet]
}

var cases = map[string]func(*scene) (broken bool, err error){
	"stop":  runStop,
	"leave": runLeave,
	"reset": runReset,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case: stop, leave or reset")
	root := flag.String("root", ".", "root of the repository, in which target/ was built")
	recordPath := flag.String("record", "", "file for the record")
	flag.Parse()
	play, found := cases[*name]
	if !found || *recordPath == "" {
		flag.Usage()
		return exitNotRun
	}
	absolute, err := filepath.Abs(*root)
	if err != nil {
		return exitNotRun
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(directory) }()
	} else {
		fmt.Println("logs are in", directory)
	}
	s := &scene{record: NewRecord(), root: absolute, directory: directory}
	s.trouble = os.Getenv("TROUBLE") != "0" && os.Getenv("TROUBLE") != "replace"
	s.replace = os.Getenv("TROUBLE") != "0"
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		if fleet := s.fleet.Load(); fleet != nil {
			fleet.Stop()
		}
		_ = os.RemoveAll(directory)
		os.Exit(exitNotRun)
	}()
	broken, err := play(s)
	if err != nil {
		s.record.Say("the case could not run: %v", err)
	}
	if writeErr := s.record.Write(*recordPath); writeErr != nil {
		fmt.Println(writeErr)
		return exitNotRun
	}
	if err != nil {
		return exitNotRun
	}
	if broken {
		return exitBroken
	}
	return exitHeld
}
