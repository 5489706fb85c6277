// Command disk plays a case: the primary of the control plane loses its disk while the
// newest epoch has no backup.
package main

import (
	"fmt"
	"os"
	"time"

	"tansyseam/review/_standins-2/lab"
)

const (
	recover = lab.RecoverS * time.Second
	// restartDelay is the time after which the platform starts a process again that ended.
	restartDelay = time.Second
)

func main() { os.Exit(run()) }

func run() int {
	l, err := lab.New(os.Args[1], 1, true)
	if err != nil {
		fmt.Println(err)
		return lab.ExitNotRun
	}
	defer l.Stop()
	if err := l.Start(); err != nil {
		l.Logf("not run: %v", err)
		return lab.ExitNotRun
	}
	l.StartLoad(36)
	time.Sleep(3 * time.Second)
	primary, backup, third, found := l.Roles(5 * time.Second)
	if !found {
		l.Logf("not run: the control plane has no primary and backup")
		return lab.ExitNotRun
	}
	l.Logf("primary %s, backup %s, third voter %s", primary.Name, backup.Name, third.Name)
	status := l.Operator.Replace(7, l.Routes(5), 0)
	l.Logf("version 7 is answered %d", status)
	if status != 200 {
		return lab.ExitNotRun
	}
	for _, p := range l.Controls {
		if err := l.Restarted(p, true); err != nil {
			return lab.ExitNotRun
		}
	}
	if l.Trouble && !disrupt(l, primary, backup, third) {
		return lab.ExitNotRun
	}
	allBackAt := l.Group.Now()
	l.Logf("all control processes run")
	return judge(l, allBackAt)
}

// disrupt stops the third voter and restarts the backup while a change is under way. Once
// the epoch has no backup, the primary loses its disk. Then all processes are started.
func disrupt(l *lab.Lab, primary, backup, third *lab.Process) bool {
	third.Kill()
	l.Logf("%s is killed", third.Name)
	backup.Kill()
	l.Logf("%s is killed", backup.Name)
	changed := make(chan int, 1)
	go func() { changed <- l.Operator.Replace(11, l.Routes(6), 0) }()
	time.Sleep(restartDelay)
	if backup.Start() != nil {
		return false
	}
	l.Logf("%s is started again", backup.Name)
	if !awaitNoBackup(l, primary) {
		l.Logf("not run: no epoch without a backup was seen")
		return false
	}
	primary.Kill()
	if err := l.LoseDisk(primary, true); err != nil {
		return false
	}
	l.Logf("%s is killed and its disk is lost", primary.Name)
	time.Sleep(restartDelay)
	if primary.Start() != nil || third.Start() != nil {
		return false
	}
	l.Logf("%s and %s are started again", primary.Name, third.Name)
	return true
}

// awaitNoBackup waits until the primary leads an epoch without a backup.
func awaitNoBackup(l *lab.Lab, primary *lab.Process) bool {
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if health, ok := primary.Health(); ok && health.Primary == primary.Name && health.Backup == "" {
			l.Logf("epoch %d: primary %s, no backup", health.Epoch, health.Primary)
			return true
		}
	}
	return false
}

// judge reads the configuration back once the bound of recovery is over.
func judge(l *lab.Lab, allBackAt time.Duration) int {
	time.Sleep(allBackAt + recover + 10*time.Second - l.Group.Now())
	status := l.Operator.Fetch()
	for _, p := range l.Controls {
		health, ok := p.Health()
		l.Logf("%s answers %v: epoch %d, primary %q, backup %q", p.Name, ok, health.Epoch, health.Primary, health.Backup)
	}
	history := l.History.Copy()
	served, sent := 0, 0
	for _, query := range history.Queries {
		if query.Sent > allBackAt+recover && query.Act != "" {
			sent++
			if query.Code == "" && !query.Cut && query.Answered > 0 {
				served++
			}
		}
	}
	l.Logf("the configuration is fetched for 15 s from all control processes: status %d; of %d reads, writes and commits sent later than recover_s after all were back %d were served", status, sent, served)
	if status == 200 {
		l.Logf("LOST, CONFIG and RECOVER held")
		return lab.ExitHeld
	}
	l.Logf("LOST and CONFIG broken: version 7 was acknowledged and does not come")
	return lab.ExitBroken
}
