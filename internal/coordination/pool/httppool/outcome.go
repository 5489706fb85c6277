package httppool

import (
	"maps"
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/state/model"
)

func (m *Machine) finish(j *Job, told Result, now time.Duration) {
	if j.isTold {
		return
	}
	j.isTold = true
	if told.Fault != "" && told.Retry == 0 && told.Cause == "" {
		told.Retry = time.Second
	}
	held := j.consumer
	if told.Outcome == OutcomeKept {
		held.marks[j.database] = held.marks[j.database].Later(told.Position)
	}
	held.isBusy, held.used = false, now
	if held.isShut || held.isLost {
		m.loseSession(held)
	}
	told.IsClosed = told.IsClosed || held.isShut
	if told.IsClosed {
		m.shut(held, now)
	}
	told.Sequence, told.Marks = j.sequence, maps.Clone(held.marks)
	m.count("outcome_"+told.Outcome, 1)
	m.emit(Tell{Job: j, Result: told})
}

// GiveUp ends a request whose deadline has passed, or that could not go on
// to the next stage.
func (m *Machine) GiveUp(j *Job, now time.Duration) {
	if j.isTold {
		return
	}
	m.count("gave_up", 1)
	givings[j.phase](m, j, now)
}

var givings = map[phase]func(*Machine, *Job, time.Duration){
	phaseNew:   giveUpNew,
	phaseLease: giveUpNew,
	phaseSeek: func(m *Machine, j *Job, now time.Duration) {
		m.finish(j, Result{Outcome: OutcomeUnknown, Fault: "the node that had this go has not answered", Retry: time.Second}, now)
	},
	phaseJoined: func(m *Machine, j *Job, now time.Duration) {
		m.finish(j, Result{Outcome: OutcomeUnknown, Fault: "its first sending is still out", Retry: time.Second}, now)
	},
	phaseLine: func(m *Machine, j *Job, now time.Duration) {
		m.unline(j)
		m.settleGo(j.op.Go, idempotency.Not, nil, model.Position{}, now)
		m.finish(j, Result{Outcome: OutcomeNot, Fault: "deadline passed while waiting in line: " + m.whyWaits(j, now), Retry: m.backAt(j, now)}, now)
	},
	phaseTaken: func(m *Machine, j *Job, now time.Duration) {
		m.settleGo(j.op.Go, idempotency.Not, nil, model.Position{}, now)
		m.finish(j, Result{Outcome: OutcomeNot, Fault: "deadline passed before it was passed on", Retry: m.backAt(j, now)}, now)
	},
	phaseOut: func(m *Machine, j *Job, now time.Duration) { m.abandon(j, now) },
	phaseConfirm: func(m *Machine, j *Job, now time.Duration) {
		m.settleGo(j.op.Go, idempotency.Unknown, nil, model.Position{}, now)
		m.finish(j, Result{Outcome: OutcomeUnknown, Fault: "it ran, but is not yet shown to be safe on the replicas", Retry: time.Second}, now)
	},
	phaseEnded: func(*Machine, *Job, time.Duration) {},
}

func giveUpNew(m *Machine, j *Job, now time.Duration) {
	m.finish(j, Result{Outcome: m.unsentOutcome(j), Fault: "deadline passed before it was passed on", Retry: m.backAt(j, now)}, now)
}

func (m *Machine) unsentOutcome(j *Job) string {
	if j.isLasting() && !m.goes.IsFirst(j.op.Go) {
		return OutcomeUnknown
	}
	return OutcomeNot
}

func (m *Machine) whyWaits(j *Job, now time.Duration) string {
	writer := m.serve.Writer(j.database)
	checks := []struct {
		is  bool
		why string
	}{
		{!m.serve.IsLeased(now), "this node has no lease from the control plane"},
		{writer.Phase == "", "the database's primary is not known yet"},
		{writer.Phase != model.PhaseOpen && (j.isStrict || j.op.IsWrite), "the writer role is moving"},
	}
	for _, check := range checks {
		if check.is {
			return check.why
		}
	}
	return "no room in the windows of its instances"
}

func (m *Machine) backAt(j *Job, now time.Duration) time.Duration {
	one := m.base(j.database)
	spread := m.spread(30 * time.Millisecond)
	if m.serve.Writer(j.database).Phase != model.PhaseOpen || !m.serve.IsLeased(now) {
		return 800*time.Millisecond + spread
	}
	ahead := one.reads.live + one.writes.live + one.turns.live
	room, cal := 0, time.Duration(0)
	for _, held := range m.backs {
		if m.baseOf(held) == one {
			room += held.window.Size()
			cal = max(cal, held.window.Read().Cal)
		}
	}
	return min(100*time.Millisecond+spread+time.Duration(ahead+1)*cal/time.Duration(max(room, 1)), 5*time.Second)
}

func (m *Machine) settleGo(id, standing string, rows []byte, position model.Position, now time.Duration) {
	joined, answer := m.goes.Settle(id, standing, rows, position, now)
	for _, token := range joined {
		m.finish(token.(*Job), resultOf(answer), now)
	}
}

func resultOf(answer idempotency.Answer) Result {
	results := map[string]Result{
		idempotency.Kept: {Outcome: OutcomeKept, Rows: answer.Rows, Position: answer.Position},
		idempotency.Not:  {Outcome: OutcomeNot, Fault: "this go ended before with nothing kept", Retry: time.Second},
	}
	if found, isOne := results[answer.Standing]; isOne {
		return found
	}
	return Result{Outcome: OutcomeUnknown, Fault: "what became of this go is not known", Retry: time.Second}
}

var decisions map[string]func(*Machine, *Job, idempotency.Decision, time.Duration)

func init() {
	decisions = map[string]func(*Machine, *Job, idempotency.Decision, time.Duration){
		idempotency.Run: func(m *Machine, j *Job, _ idempotency.Decision, now time.Duration) {
			if j.op.Act == ActCommit && !j.consumer.isInside {
				m.settleGo(j.op.Go, idempotency.Not, nil, model.Position{}, now)
				m.finish(j, noTurn, now)
				return
			}
			j.phase = phaseNew
			m.emit(Admit{Job: j})
		},
		idempotency.Wait: func(_ *Machine, j *Job, _ idempotency.Decision, _ time.Duration) { j.phase = phaseJoined },
		idempotency.Tell: func(m *Machine, j *Job, decision idempotency.Decision, now time.Duration) {
			m.finish(j, resultOf(decision.Answer), now)
		},
		idempotency.Bad: func(m *Machine, j *Job, _ idempotency.Decision, now time.Duration) {
			m.finish(j, Result{Outcome: OutcomeNot, Fault: "a go's id must be a session's id, a dot and a count", Cause: CauseBadGo}, now)
		},
		idempotency.Seek: func(m *Machine, j *Job, decision idempotency.Decision, now time.Duration) {
			j.phase, j.target = phaseSeek, decision.Target
			j.hops++
			if j.hops > 64 {
				m.GiveUp(j, now)
				return
			}
			m.seek(j, now)
		},
	}
}

func (m *Machine) decided(j *Job, decision idempotency.Decision, now time.Duration) {
	m.count("goes_"+decision.Kind, 1)
	decisions[decision.Kind](m, j, decision, now)
}

func (m *Machine) seek(j *Job, now time.Duration) {
	if j.target == m.place.Name {
		m.heard(j, m.goes.OnAsk(idempotency.Ask{Go: j.op.Go, By: m.place.Name}, now), now)
		return
	}
	if m.asks[j.target] >= m.timing.Seeks {
		m.seeks[j.target] = append(m.seeks[j.target], j)
		return
	}
	m.asks[j.target]++
	m.emit(Seek{Job: j, Target: j.target})
}

// Heard takes another node's answer on a go; false where there was none.
func (m *Machine) Heard(j *Job, target string, answer idempotency.Answer, isAnswered bool, now time.Duration) {
	m.asks[target]--
	for next := m.seeks[target]; len(next) > 0 && m.asks[target] < m.timing.Seeks; next = m.seeks[target] {
		m.seeks[target] = next[1:]
		if !next[0].isTold {
			m.seek(next[0], now)
		}
	}
	if m.asks[target] == 0 {
		delete(m.asks, target)
		delete(m.seeks, target)
	}
	if j.isTold {
		return
	}
	if !isAnswered {
		m.finish(j, Result{Outcome: OutcomeUnknown, Fault: "the node that had this go cannot be asked", Retry: time.Second}, now)
		return
	}
	m.heard(j, answer, now)
}

func (m *Machine) heard(j *Job, answer idempotency.Answer, now time.Duration) {
	if answer.Standing == idempotency.Out {
		m.polls = append(m.polls, poll{j, now + pollEvery})
		return
	}
	m.decided(j, m.goes.Heard(j.op.Go, j, answer, now), now)
}

const pollEvery = 40 * time.Millisecond

type poll struct {
	job *Job
	at  time.Duration
}

func (m *Machine) pollAgain(now time.Duration) {
	waiting := m.polls
	m.polls = nil
	for _, one := range waiting {
		if one.at > now && !one.job.isTold {
			m.polls = append(m.polls, one)
			continue
		}
		if !one.job.isTold {
			m.seek(one.job, now)
		}
	}
}

// OnAsk answers another node that was brought a go of ours.
func (m *Machine) OnAsk(ask idempotency.Ask, now time.Duration) idempotency.Answer {
	return m.goes.OnAsk(ask, now)
}

// Inherit takes a stopping node's record of goes.
func (m *Machine) Inherit(left idempotency.Legacy, now time.Duration) {
	m.goes.Inherit(left, now)
	m.count("legacies_taken", 1)
}

// Window gives what a window shows, for an instance that was met.
func (m *Machine) Window(instance string) (flowcontrol.Reading, bool) {
	held := m.back(instance)
	if held == nil {
		return flowcontrol.Reading{}, false
	}
	return held.window.Read(), true
}
