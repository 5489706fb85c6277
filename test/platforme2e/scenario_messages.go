package platforme2e

import (
	"syscall"
	"time"

	"tansyseam/test/e2e"
	"tansyseam/test/platformstandin"
)

const (
	// lineEndShare is the share of texts with characters of the line end.
	lineEndShare = 0.3
	// repeatedShare is the share of answers that instances send twice.
	repeatedShare = 0.3
	// maxRepetitionDelay bounds the time between the two.
	maxRepetitionDelay = 60 * time.Millisecond
	messageLoadTime    = 4 * time.Second
	// contentionSessions is the number of sessions without pauses, whose statements
	// follow each other on the same connections.
	contentionSessions = 60
	// refusalRounds is the number of times that instances refuse statements.
	refusalRounds    = 8
	refusalsPerRound = 3
)

func addLineEnds(mix *platformstandin.Mix) {
	mix.LineEndShare, mix.SplitsWrites = lineEndShare, true
}

// runLineEnds lets sessions send texts that contain CR or LF. It guards against messages
// that end at a character of a text.
func runLineEnds(r *Run) {
	for _, service := range r.Services {
		service.SplitWrites()
	}
	r.Sleep(messageLoadTime)
}

func (r *Run) repeatAnswers(share float64) {
	for _, service := range r.Services {
		for _, instance := range service.Instances() {
			instance.RepeatAnswers(share, maxRepetitionDelay)
		}
	}
}

// runRepeatedAnswers lets all instances send answers again. Some of the answers promise
// that a statement did not run. It guards against repeated answers that are taken for
// the answers to later statements.
func runRepeatedAnswers(r *Run) {
	r.repeatAnswers(repeatedShare)
	r.StartBusyLoad(contentionSessions, r.Services[0].Name)
	for range refusalRounds {
		for _, instance := range r.Services[0].Instances() {
			instance.RefuseStatements(refusalsPerRound)
		}
		r.Sleep(messageLoadTime / refusalRounds)
	}
	r.busyGroup.Stop(stopTimeout)
	r.repeatAnswers(0)
}

// runRepeatedLines is like runRepeatedAnswers, but single lines are sent again, and all
// writes of the instances are split.
func runRepeatedLines(r *Run) {
	for _, service := range r.Services {
		service.SplitWrites()
		for _, instance := range service.Instances() {
			instance.RepeatLines()
		}
	}
	runRepeatedAnswers(r)
}

// runRepeatedAnswersAndCrash is like runRepeatedAnswers while a primary crashes, so that
// transactions cannot begin.
func runRepeatedAnswersAndCrash(r *Run) {
	r.repeatAnswers(repeatedShare)
	r.StartBusyLoad(contentionSessions, r.Services[0].Name)
	runPrimaryCrash(r)
	r.busyGroup.Stop(stopTimeout)
	r.repeatAnswers(0)
}

// soakRounds is the number of rounds of faults of a soak.
const soakRounds = 3

// runMessagesSoak repeats answers, and single lines of answers at one service, while
// processes and instances are stopped and started, and the configuration changes.
func runMessagesSoak(r *Run) {
	for _, service := range r.Services {
		service.SplitWrites()
	}
	for _, instance := range r.Services[1].Instances() {
		instance.RepeatLines()
	}
	r.repeatAnswers(repeatedShare)
	r.StartBusyLoad(contentionSessions, r.Services[0].Name)
	for round := range soakRounds {
		service := r.Services[round%len(r.Services)]
		for _, instance := range service.Instances() {
			instance.LoseAnswers(refusalsPerRound)
			instance.RefuseStatements(refusalsPerRound)
		}
		proxy := r.Proxies[round%len(r.Proxies)]
		proxy.Signal(syscall.SIGHUP)
		r.ReplaceConfiguration(r.Routes(), round)
		proxy.Signal(syscall.SIGTERM)
		old := service.Primary()
		old.Crash()
		r.awaitPromotion(service, old, r.group.Now())
		restart(old)
		r.awaitExitAndRestart(proxy)
		r.killAndRestartControl()
	}
	r.busyGroup.Stop(stopTimeout)
	r.repeatAnswers(0)
}

// killAndRestartControl kills the control primary and restarts it at once. The role may
// be vacant for a time after the faults before.
func (r *Run) killAndRestartControl() {
	var primary *e2e.Process
	found := e2e.WaitUntil(serviceTimeout, func() bool {
		primary = r.ControlPrimary()
		return primary != nil
	})
	if !found {
		r.Errorf("no control primary within %v", serviceTimeout)
		return
	}
	primary.Kill()
	if err := primary.Start(r.directory); err != nil {
		r.Errorf("%v", err)
	}
	r.AwaitService("after the restart of "+primary.Name, serviceTimeout)
}
