package consensus

import (
	"slices"
	"time"
)

func (m *Machine) onTick(tick Tick, now time.Duration) {
	m.wall, m.wallAt, m.owed = tick.Wall, now, tick.Owed
	if m.life == 0 {
		m.life = tick.Wall
	}
	if !m.isFormed() {
		m.seekStanding(now)
		return
	}
	m.keepInTouch(now)
	m.tellLeaving(now)
	if m.round != nil && now-m.round.Started > m.timing.Reply {
		m.round = nil
	}
	if m.round != nil && m.round.IsAsking() && m.retry != 0 && now >= m.retry {
		m.round, m.waitUntil = nil, now
	}
	if m.isNamed() {
		m.tickPrimary(now)
		return
	}
	m.failQueue()
	isBackup := m.ballots.Decided.Backup == m.self && m.IsMember() && !m.isStalled()
	isSilent := now >= m.grantAt+m.timing.Primacy && now >= m.started+m.timing.Primacy
	if (isBackup || m.mayStandAsSpare(now)) && isSilent && m.round == nil && now >= m.waitUntil {
		m.propose(m.successor(""), now)
	}
}

// isStalled says that the disk has owed a sync for longer than a backup's is
// waited for.
func (m *Machine) isStalled() bool { return m.owed > m.timing.Reply }

func (m *Machine) tickPrimary(now time.Duration) {
	if m.isStalled() {
		m.refuseIdle(now)
		m.renewed = now - deafPace*m.timing.Primacy
		return
	}
	if m.pending != nil && m.owed > 0 {
		m.pending.sent = now
	}
	if now-m.renewed >= m.renewPace(now) {
		m.renewed = now
		m.setClock(now)
		m.others(func(name string) { m.send(name, Renew{Record: m.ballots.Decided, Sent: now, Life: m.life}) })
		m.reckon(now)
	}
	m.fillSpares(now)
	if m.pending != nil && !m.pending.isBacked && !m.isUnpaired() && m.round == nil && now-m.pending.sent > m.timing.Reply && now >= m.waitUntil {
		m.dropBackup(now, "backup did not sync in time")
	}
	decided := m.ballots.Decided
	if m.round != nil || (m.pending != nil && !m.isUnpaired()) {
		return
	}
	if m.isUnsettled || m.isAhead {
		if now >= m.waitUntil && m.hasPrimacy(now) {
			m.propose(m.successor(""), now)
		}
		if m.round != nil || m.hasPrimacy(now) {
			return
		}
	}
	if now >= m.waitUntil && m.IsPrimary(now) && (m.handOver(now) || m.changeVoters(now)) {
		return
	}
	if decided.Backup != "" && now-m.acks[decided.Backup] > 3*m.timing.Primacy && now-m.started > 3*m.timing.Primacy && now >= m.waitUntil && m.IsPrimary(now) {
		m.dropBackup(now, "backup silent")
		return
	}
	if !m.hasPrimacy(now) && now-m.started > m.timing.Primacy && now >= m.waitUntil && len(m.refusedBy(now)) > 0 {
		next := m.successor(decided.Backup)
		if m.isAhead {
			next.Backup = ""
		}
		m.propose(next, now)
		return
	}
	if (decided.Backup == "" || m.isLeavingNow(decided.Backup, now)) && m.IsPrimary(now) {
		m.bringIn(now)
	}
	m.pump(now)
}

// deafPace is how many spans of primacy a primary that does not hear a majority leaves
// between renewals: voters that hear it are bound by each for one span, and could
// not help the backup if they followed each other closer.
const deafPace = 3

func (m *Machine) renewPace(now time.Duration) time.Duration {
	if m.hasPrimacy(now) || m.hearsMajority(now) {
		return m.timing.Renew
	}
	return deafPace * m.timing.Primacy
}

// hearsMajority says whether a majority of the voters, this machine among them, was
// heard lately, or may not have had the time since this machine started.
func (m *Machine) hearsMajority(now time.Duration) bool {
	names := m.Voters()
	count := 0
	for _, name := range names {
		if name == m.self || now-max(m.heardFrom[name], m.started) < unheardSpans*m.timing.Primacy {
			count++
		}
	}
	return count > len(names)/2
}

func (m *Machine) isUnpaired() bool {
	return m.founding.IsPaired && m.ballots.Decided.Backup == "" && len(m.Voters()) > 1
}

func (m *Machine) refusedBy(now time.Duration) []string {
	var names []string
	m.others(func(name string) {
		if at, isHeard := m.acks[name]; isHeard && now-at < m.timing.Primacy {
			names = append(names, name)
		}
	})
	return names
}

func (m *Machine) dropBackup(now time.Duration, why string) {
	m.shunned[m.ballots.Decided.Backup] = now + 4*m.timing.Primacy
	m.turned(m.ballots.Decided, why)
	m.propose(m.successor(""), now)
}

func (m *Machine) onRenew(from string, renew Renew, now time.Duration) {
	m.adopt(renew.Record, now, "renewal")
	if m.isFormed() && m.ballots.Decided == renew.Record && renew.Record.Primary == from {
		m.heardAt = now
	}
	if !m.IsMember() {
		return
	}
	decided := m.ballots.Decided
	isGranted := decided == renew.Record && decided.Primary == from && !m.ballots.IsPledged
	if isGranted {
		m.grantTo, m.grantAt = from, now
	}
	ack := RenewAck{Decided: decided, Sent: renew.Sent, Life: renew.Life, IsGranted: isGranted}
	if m.wall != 0 {
		ack.Wall = m.wall + int64(now-m.wallAt)
	}
	m.send(from, ack)
}

func (m *Machine) onRenewAck(from string, ack RenewAck, now time.Duration) {
	m.adopt(ack.Decided, now, "a voter is ahead")
	if !m.isNamed() || !m.isVoter(from) || ack.Sent > now || m.life == 0 || (ack.Life != 0 && ack.Life != m.life) {
		return
	}
	m.acks[from] = now
	if ack.Wall != 0 && now-ack.Sent < clockTrip {
		m.walls[from] = ack.Wall - int64(ack.Sent+(now-ack.Sent)/2)
	}
	if ack.IsGranted && ack.Decided == m.ballots.Decided {
		m.grantsBy[from] = max(m.grantsBy[from], ack.Sent)
		m.reckon(now)
		m.pump(now)
	}
}

func (m *Machine) reckon(now time.Duration) {
	var sent []time.Duration
	if !m.ballots.IsPledged {
		sent = append(sent, now)
	}
	m.others(func(name string) {
		if at, isHeard := m.grantsBy[name]; isHeard {
			sent = append(sent, at)
		}
	})
	need := len(m.Voters())/2 + 1
	if len(sent) < need {
		return
	}
	if !m.hasPrimacy(now) {
		m.setClock(now)
	}
	slices.Sort(sent)
	m.primacy = max(m.primacy, sent[len(sent)-need]+m.timing.Primacy*9/10)
}

// Wall gives the wall clock that a majority of the disk machines agree on:
// the median, so that one skewed clock moves nothing. While primacy is held
// it only creeps, so that the nodes' reckonings of it stay alike.
func (m *Machine) Wall(now time.Duration) int64 { return m.offset + int64(now) }

// IsClockSure says whether that clock was taken from three machines or more,
// or from two that agree.
func (m *Machine) IsClockSure() bool { return m.isSure }

const (
	creep     = int64(time.Millisecond)
	clockTrip = 200 * time.Millisecond
)

func (m *Machine) setClock(now time.Duration) {
	offsets := []int64{m.wall - int64(m.wallAt)}
	for name, offset := range m.walls {
		if now-m.acks[name] < 5*time.Second {
			offsets = append(offsets, offset)
		}
	}
	slices.Sort(offsets)
	median := offsets[(len(offsets)-1)/2]
	if !m.hasPrimacy(now) {
		m.offset = median
		m.isSure = len(offsets) > 2 || (len(offsets) == 2 && offsets[1]-offsets[0] < int64(clockTrip))
		return
	}
	m.offset += max(min(median-m.offset, creep), -creep)
}
