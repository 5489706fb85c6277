package consensus

import (
	"time"

	"tansyseam/internal/state/store"
)

func (m *Machine) onSubmit(submit Submit, now time.Duration) {
	if !m.isNamed() {
		m.emit(Answer{Token: submit.Token})
		return
	}
	m.queue = append(m.queue, submit)
	if m.isStalled() {
		m.refuseIdle(now)
		return
	}
	m.pump(now)
}

func (m *Machine) pump(now time.Duration) {
	for len(m.queue) > 0 && m.pending == nil && m.round == nil && !m.isUnsettled && !m.isUnpaired() && m.IsPrimary(now) {
		submit := m.queue[0]
		m.queue = m.queue[1:]
		puts := submit.Build(m.copy)
		if len(puts) == 0 {
			m.emit(Answer{Token: submit.Token, IsKept: true, Stamp: m.copy.Stamp})
			continue
		}
		before := m.copy.Stamp
		stamp := store.Stamp{Epoch: m.ballots.Decided.Epoch, Sequence: before.Sequence + 1}
		m.copy = m.copy.Clone()
		m.copy.Apply(stamp, puts)
		m.saveTable()
		m.pending = &write{token: submit.Token, puts: puts, stamp: stamp, sent: now}
		if m.ballots.Decided.Backup == "" {
			m.finishWrite(now)
			continue
		}
		sent := Write{Record: m.ballots.Decided, Before: before, Stamp: stamp, Puts: puts}
		m.send(sent.Record.Backup, sent)
		m.eachSpare(func(name string) { m.send(name, sent) })
	}
}

func (m *Machine) finishWrite(now time.Duration) {
	if m.pending == nil {
		return
	}
	stamp := m.pending.stamp
	m.safe = m.copy
	m.emit(Wrote{Stamp: stamp, Table: m.safe})
	m.emit(Answer{Token: m.pending.token, IsKept: true, Stamp: stamp})
	m.pending = nil
	m.pump(now)
}

func (m *Machine) failQueue() {
	if m.pending != nil {
		m.emit(Answer{Token: m.pending.token, IsUnknown: true})
		m.pending = nil
	}
	m.refuseQueue()
}

func (m *Machine) refuseQueue() {
	for _, submit := range m.queue {
		m.emit(Answer{Token: submit.Token})
	}
	m.queue = nil
}

// refuseIdle refuses what waits and was not begun while the disk hangs and
// primacy has lapsed.
func (m *Machine) refuseIdle(now time.Duration) {
	if !m.hasPrimacy(now) {
		m.refuseQueue()
	}
}

func (m *Machine) onWrite(from string, sent Write, now time.Duration) {
	m.adopt(sent.Record, now, "write from the primary")
	decided := m.ballots.Decided
	isOurs := decided == sent.Record && decided.Primary == from && m.IsMember() && (decided.Backup == m.self || m.sparesWanted() > 0) && !m.isGivenAway(from)
	ack := WriteAck{Stamp: sent.Stamp}
	if isOurs && m.copy.Stamp == sent.Before {
		m.copy = m.copy.Clone()
		m.copy.Apply(sent.Stamp, sent.Puts)
		m.saveTable()
		m.fill()
		ack.IsSynced = true
	}
	m.send(from, ack)
}

func (m *Machine) onWriteAck(from string, ack WriteAck, now time.Duration) {
	if m.isSpare(from) {
		m.spared(from, ack.Stamp, ack.IsSynced, now)
		return
	}
	if m.pending == nil || from != m.ballots.Decided.Backup || ack.Stamp != m.pending.stamp || !m.isNamed() {
		return
	}
	if ack.IsSynced {
		m.backed(now)
		return
	}
	if m.round == nil {
		m.dropBackup(now, "backup out of step")
	}
}

// bringIn fills the copy of a voter that is to be the backup. One that failed lately
// is tried only while the backup is about to end.
func (m *Machine) bringIn(now time.Duration) {
	if m.repairing != nil && now-m.repairing.sent < m.timing.Reply {
		return
	}
	if m.repairing != nil {
		m.shunned[m.repairing.peer] = now + m.timing.Primacy
		m.repairing = nil
	}
	best := m.lastHeard(now, func(name string) bool { return now >= m.shunned[name] })
	if best == "" && m.isLeavingNow(m.ballots.Decided.Backup, now) {
		best = m.lastHeard(now, func(string) bool { return true })
	}
	if best != "" {
		m.offer(best, now)
	}
}

// lastHeard gives the voter last heard of those that could be the backup.
func (m *Machine) lastHeard(now time.Duration, isFit func(string) bool) string {
	best := ""
	m.others(func(name string) {
		at, isHeard := m.acks[name]
		isOut := name == m.ballots.Decided.Backup || m.isLeavingNow(name, now) || !isFit(name)
		if !isHeard || now-at > m.timing.Primacy || isOut {
			return
		}
		if best == "" || m.acks[best] < at {
			best = name
		}
	})
	return best
}

func (m *Machine) offer(peer string, now time.Duration) {
	m.repairing = &repair{peer: peer, sent: now, stamp: m.copy.Stamp}
	m.show(peer)
}

func (m *Machine) show(peer string) {
	m.send(peer, Offer{Record: m.ballots.Decided, Stamp: m.copy.Stamp, Digests: m.copy.Digests()})
}

func (m *Machine) onOffer(from string, offer Offer, now time.Duration) {
	m.adopt(offer.Record, now, "offer")
	if m.ballots.Decided != offer.Record || offer.Record.Primary != from || !m.IsMember() || m.isGivenAway(from) {
		return
	}
	ranks := store.Differ(m.copy.Digests(), offer.Digests)
	if len(ranks) == 0 && m.copy.Stamp == offer.Stamp {
		m.fill()
		m.send(from, Filled{Stamp: offer.Stamp})
		return
	}
	m.send(from, Want{Stamp: offer.Stamp, Ranges: ranks})
}

func (m *Machine) onWant(from string, want Want, now time.Duration) {
	isRepaired := m.repairing != nil && m.repairing.peer == from
	if !isRepaired && !m.isSpare(from) {
		return
	}
	if want.Stamp != m.copy.Stamp {
		if isRepaired {
			m.offer(from, now)
		}
		return
	}
	m.send(from, Fill{Record: m.ballots.Decided, Stamp: m.copy.Stamp, Ranges: want.Ranges, Records: m.copy.Cut(want.Ranges)})
}

func (m *Machine) onFill(from string, fill Fill, _ time.Duration) {
	if m.ballots.Decided != fill.Record || fill.Record.Primary != from || !m.IsMember() || m.isGivenAway(from) {
		return
	}
	m.copy = m.copy.Clone()
	m.copy.Mend(fill.Stamp, fill.Ranges, fill.Records)
	m.saveTable()
	m.fill()
	m.send(from, Filled{Stamp: fill.Stamp})
}

func (m *Machine) onFilled(from string, filled Filled, now time.Duration) {
	if m.isSpare(from) {
		m.spared(from, filled.Stamp, true, now)
	}
	if m.repairing == nil || m.repairing.peer != from || !m.isNamed() {
		return
	}
	if filled.Stamp != m.copy.Stamp || (m.pending != nil && !m.isUnpaired()) {
		m.offer(from, now)
		return
	}
	m.repairing = nil
	if m.round == nil {
		m.propose(m.successor(from), now)
	}
}
