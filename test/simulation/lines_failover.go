package simulation

import (
	"time"

	"tansyseam/internal/coordination/failover"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/state/model"
)

const (
	probeTimeout          = 400 * time.Millisecond
	refusedProbeDelay     = 3 * time.Millisecond
	busyProbability       = 0.05
	maxTerm               = 1 << 60
	noStepDown            = 0
	statusDone            = 200
	statusConflict        = 409
	statusTooManyRequests = 429
)

// decideSync runs the failover decision of a control server for a database with
// synchronous replication.
func (l *lineFleet) decideSync(control, primary *controlServer, evidence syncrepl.Evidence) {
	evidence.FencingEnforced = l.config.FencesChecked
	evidence = control.syncFailover.Augment(evidence, control.clock())
	effects := syncrepl.Step(evidence, syncrepl.DefaultTiming())
	if l.defects.PromoteWorstReplica {
		promoteWorst(effects, worstReplica(evidence))
	}
	decided := decision{
		primary: primary, database: evidence.Database, previous: evidence.Writer, previousExists: evidence.Known,
		act:      func(effect failover.Effect) { l.applySyncFailover(control, primary, evidence, effect) },
		recorded: control.syncFailover.RecordCommitted,
	}
	control.carryOut(decided, effects)
}

// decideAsync runs the decision for asynchronous replication, which control
// applies until it has observed that the instances replicate synchronously. It
// must not promote an instance.
func (l *lineFleet) decideAsync(control, primary *controlServer, evidence asyncrepl.Evidence) {
	decided := decision{
		primary: primary, database: evidence.Database, previous: evidence.Writer, previousExists: evidence.Known,
		act: func(effect failover.Effect) {
			if promote, ok := effect.(asyncrepl.Promote); ok {
				l.recorder.addViolation("%s is promoted by the rules of asynchronous replication", promote.Instance)
			}
		},
		recorded: func(failover.Record) {},
	}
	control.carryOut(decided, asyncrepl.Step(evidence, asyncrepl.DefaultTiming()))
}

func (l *lineFleet) applySyncFailover(control, primary *controlServer, evidence syncrepl.Evidence, effect failover.Effect) {
	if status, ok := effect.(syncrepl.QueryStatus); ok {
		l.probeInstance(control, evidence, status.Instance, status.Address, noStepDown)
	}
	if order, ok := effect.(syncrepl.StepDown); ok {
		l.probeInstance(control, evidence, order.Instance, order.Address, order.Term)
	}
	if bound, ok := effect.(syncrepl.ReportBound); ok {
		l.simulator.send(&control.machine, &primary.machine, func() {
			if primary.isPrimary() {
				primary.distributor.ConfirmCoverage(bound)
			}
		})
	}
	if promote, ok := effect.(syncrepl.Promote); ok {
		l.platform.requestPromotion(control, promote)
	}
}

// promoteWorst changes the effects of a promotion so that they promote the given
// replica.
func promoteWorst(effects []failover.Effect, worst string) {
	for index, effect := range effects {
		if record, ok := effect.(failover.Record); ok && record.Writer.Phase == model.PhasePromoting {
			record.Writer.Promoting = worst
			effects[index] = record
		}
		if promote, ok := effect.(syncrepl.Promote); ok {
			promote.Instance = worst
			effects[index] = promote
		}
	}
}

// worstReplica returns the name of the replica with the lowest position among
// those that answered a probe.
func worstReplica(evidence syncrepl.Evidence) string {
	name, furthestBehind := "", model.Position{Term: maxTerm}
	for _, observation := range evidence.Observations {
		probe := evidence.Probes[observation.Instance.Name]
		if probe.Answered && probe.Role == model.RoleReplica && probe.Position.IsBefore(furthestBehind) {
			name, furthestBehind = observation.Instance.Name, probe.Position
		}
	}
	return name
}

// probeInstance requests the status of an instance. If stepDownTerm is not
// noStepDown, the instance is also ordered to step down for that term.
func (l *lineFleet) probeInstance(control *controlServer, evidence syncrepl.Evidence, name, address string, stepDownTerm uint64) {
	report := control.syncFailover.BeginProbe(evidence, name)
	if report == nil {
		return
	}
	finished := false
	finish := func(result syncrepl.ProbeResult) {
		if !finished {
			finished = true
			report(result, control.clock())
		}
	}
	fail := func() { finish(syncrepl.ProbeResult{}) }
	control.after(probeTimeout, fail)
	target := l.instancesByAddress[address]
	if !target.running && !target.vanished {
		control.after(refusedProbeDelay, fail)
		return
	}
	l.simulator.send(&control.machine, &target.machine, func() {
		if stepDownTerm != noStepDown && target.name == name {
			target.stepDown(stepDownTerm, l.primaryOf(evidence.Database))
		}
		result := target.probeResult(name)
		l.simulator.send(&target.machine, &control.machine, func() { finish(result) })
	})
}

// probeResult returns the answer to a probe that is meant for the instance of
// the given name.
func (i *lineInstance) probeResult(name string) syncrepl.ProbeResult {
	if i.name != name {
		return syncrepl.ProbeResult{Gone: true}
	}
	if i.isOverloaded() || i.simulator.chance(busyProbability) {
		return syncrepl.ProbeResult{Busy: true}
	}
	return syncrepl.ProbeResult{Answered: true, Role: i.role, Term: i.term, Position: i.position()}
}
