package epoch

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"tansyseam.example/pooler/coordination/ballot"
	"tansyseam.example/pooler/state/table"
)

type act func(m *Machine, event any, now time.Duration)

type hear func(m *Machine, from string, body any, now time.Duration)

var (
	steps   map[reflect.Type]act
	hearers map[reflect.Type]hear
)

func kindOf(value any) reflect.Type { return reflect.TypeOf(value) }

func on[T any](step func(*Machine, T, time.Duration)) (reflect.Type, act) {
	return reflect.TypeFor[T](), func(m *Machine, event any, now time.Duration) { step(m, event.(T), now) }
}

func heard[T any](step func(*Machine, string, T, time.Duration)) (reflect.Type, hear) {
	return reflect.TypeFor[T](), func(m *Machine, from string, body any, now time.Duration) { step(m, from, body.(T), now) }
}

func init() {
	steps = map[reflect.Type]act{}
	hearers = map[reflect.Type]hear{}
	addStep := func(kind reflect.Type, step act) { steps[kind] = step }
	addHear := func(kind reflect.Type, step hear) { hearers[kind] = step }
	addStep(on((*Machine).onTick))
	addStep(on((*Machine).onHeard))
	addStep(on((*Machine).onPeers))
	addStep(on((*Machine).onSubmit))
	addHear(heard((*Machine).onForm))
	addHear(heard((*Machine).onFormAck))
	addHear(heard((*Machine).onFormed))
	addHear(heard(func(m *Machine, from string, ask AskStanding, _ time.Duration) {
		if m.identity != nil && m.identity.IsFormed && !m.isLost {
			m.send(from, Standing{Identity: *m.identity, Decided: m.ballots.Decided, Voted: m.voted(), Life: ask.Life})
		}
	}))
	addHear(heard((*Machine).onStanding))
	addHear(heard((*Machine).onRenew))
	addHear(heard((*Machine).onRenewAck))
	addHear(heard((*Machine).onPrepare))
	addHear(heard((*Machine).onPromised))
	addHear(heard((*Machine).onAccept))
	addHear(heard((*Machine).onAccepted))
	addHear(heard(func(m *Machine, _ string, told Decided, now time.Duration) { m.adopt(told.Record, now, "told") }))
	addHear(heard((*Machine).onWrite))
	addHear(heard((*Machine).onWriteAck))
	addHear(heard((*Machine).onOffer))
	addHear(heard((*Machine).onWant))
	addHear(heard((*Machine).onFill))
	addHear(heard((*Machine).onFilled))
}

// Owns says whether a message belongs to this machine.
func Owns(body any) bool {
	_, isOurs := hearers[kindOf(body)]
	return isOurs
}

// Messages lists one of each message type, for the codec.
func Messages() []any {
	var bodies []any
	for kind := range hearers {
		bodies = append(bodies, reflect.Zero(kind).Interface())
	}
	return bodies
}

func (m *Machine) onHeard(event Heard, now time.Duration) {
	if step, isKnown := hearers[kindOf(event.Body)]; isKnown {
		step(m, event.From, event.Body, now)
	}
}

func (m *Machine) isVoter(name string) bool { return slices.Contains(m.Voters(), name) }

func (m *Machine) onPeers(peers Peers, now time.Duration) {
	m.peers, m.links = peers.Names, peers.Links
	if len(m.peers) < m.founding.Voters {
		m.many = 0
		return
	}
	if m.many == 0 {
		m.many = now
	}
}

const (
	patience     = time.Second
	seedPatience = 3 * time.Second
	outsidePace  = time.Second
)

func (m *Machine) founders(now time.Duration) []string {
	if m.founding.Disks > 0 {
		if len(m.peers) != m.founding.Disks {
			return nil
		}
		return slices.Sorted(slices.Values(m.peers))
	}
	if !m.founding.IsFounder || m.founding.Voters == 0 || m.outside != nil {
		return nil
	}
	var seeded []string
	for _, seed := range m.founding.Seeds {
		name, isMet := m.links[seed]
		if isMet && !slices.Contains(seeded, name) {
			seeded = append(seeded, name)
		}
	}
	if len(seeded) >= m.founding.Voters {
		return slices.Sorted(slices.Values(seeded[:m.founding.Voters]))
	}
	wait := patience
	if len(seeded) < len(m.founding.Seeds) {
		wait = seedPatience
	}
	if m.many == 0 || now-m.many < wait {
		return nil
	}
	return slices.Sorted(slices.Values(m.peers))[:m.founding.Voters]
}

func (m *Machine) mayFound() bool {
	return m.founding.Disks > 0 || (m.founding.IsFounder && m.outside == nil)
}

func (m *Machine) seekStanding(now time.Duration) {
	pace, asked := m.timing.Form, m.peers
	if m.IsOutside() {
		pace, asked = outsidePace, m.outside.Identity.Voters
	}
	if now-m.asked < pace {
		return
	}
	m.asked = now
	for _, name := range asked {
		if name != m.self {
			m.send(name, AskStanding{Life: m.life})
		}
	}
	if voters := m.founders(now); m.identity == nil && len(voters) > 0 {
		if voters[0] != m.self {
			return
		}
		m.identity = &Identity{Cluster: fmt.Sprintf("%s-%d", m.self, m.wall), Self: m.self, Voters: voters}
		m.formed = map[string]bool{m.self: true}
		m.saveIdentity()
	}
	if m.identity != nil && !m.identity.IsFormed && m.identity.Voters[0] == m.self {
		m.formed[m.self] = true
		for _, name := range m.identity.Voters {
			if name != m.self {
				m.send(name, Form{Identity: *m.identity})
			}
		}
		m.settleForm(now)
	}
}

func (m *Machine) onForm(from string, form Form, _ time.Duration) {
	if m.identity == nil && m.mayFound() && slices.Contains(form.Identity.Voters, m.self) {
		identity := form.Identity
		identity.Self, identity.IsFormed = m.self, false
		m.identity = &identity
		m.saveIdentity()
	}
	if m.identity != nil && m.identity.Cluster == form.Identity.Cluster {
		m.send(from, FormAck{Cluster: form.Identity.Cluster})
	}
}

func (m *Machine) onFormAck(from string, ack FormAck, now time.Duration) {
	if m.identity == nil || m.identity.IsFormed || ack.Cluster != m.identity.Cluster {
		return
	}
	m.formed[from] = true
	m.settleForm(now)
}

func (m *Machine) settleForm(now time.Duration) {
	if len(m.formed) < len(m.identity.Voters) {
		return
	}
	m.beFormed(now)
	m.others(func(name string) { m.send(name, Formed{Cluster: m.identity.Cluster}) })
}

func (m *Machine) onFormed(_ string, formed Formed, now time.Duration) {
	if m.identity != nil && !m.identity.IsFormed && m.identity.Cluster == formed.Cluster {
		m.beFormed(now)
	}
}

func (m *Machine) beFormed(now time.Duration) {
	record := Record{Epoch: 1, Primary: m.identity.Voters[0]}
	if len(m.identity.Voters) > 1 {
		record.Backup = m.identity.Voters[1]
	}
	m.ballots.Decided = record
	m.isLost = false
	m.saveBallots()
	m.identity.IsFormed = true
	m.saveIdentity()
	m.grantAt = now
	m.turned(record, "fleet formed")
}

func (m *Machine) onStanding(from string, standing Standing, now time.Duration) {
	isStale := standing.Life != 0 && standing.Life != m.life
	if isStale || (m.identity != nil && m.identity.IsFormed && !m.isLost) {
		return
	}
	if !slices.Contains(standing.Identity.Voters, m.self) {
		m.follow(standing)
		return
	}
	if m.identity != nil && !m.identity.IsFormed && !m.isUnsound && m.identity.Cluster == standing.Identity.Cluster {
		m.beFormed(now)
		m.adopt(standing.Decided, now, "told standing")
		return
	}
	if m.isTold {
		m.adopt(standing.Decided, now, "told standing")
		return
	}
	m.stands[from] = standing
	best, count, voted := standing, 0, uint64(0)
	for _, other := range m.stands {
		if other.Identity.Cluster != standing.Identity.Cluster {
			continue
		}
		count++
		voted = max(voted, other.Voted)
		if other.Decided.Epoch > best.Decided.Epoch {
			best = other
		}
	}
	if count < len(standing.Identity.Voters)/2+1 {
		return
	}
	identity := best.Identity
	identity.Self, identity.IsFormed = m.self, true
	m.identity = &identity
	m.ballots.Decided = best.Decided
	m.ballots.Muted = max(m.ballots.Muted, best.Decided.Epoch+1, voted+1)
	m.ballots.Voter = ballot.Voter{}
	m.ballots.IsHollow = m.sparesWanted() > 0
	m.isTold, m.isUnsound = true, false
	m.isLost = m.ballots.Decided.Primary == m.self || m.ballots.Decided.Backup == m.self
	m.saveBallots()
	m.saveIdentity()
	m.emit(Clean{})
	m.started = now
	m.turned(best.Decided, "disk was lost; a majority told where things stand")
}

func (m *Machine) follow(standing Standing) {
	if m.identity != nil || m.founding.Disks > 0 {
		return
	}
	isNewer := m.outside == nil || standing.Decided.Epoch > m.outside.Decided.Epoch
	if !isNewer || (m.outside != nil && m.outside.Identity.Cluster != standing.Identity.Cluster) {
		return
	}
	m.outside = &standing
	m.turned(standing.Decided, "told standing; this machine has no vote")
}

func (m *Machine) adopt(record Record, now time.Duration, why string) {
	if record.Epoch <= m.ballots.Decided.Epoch || m.identity == nil || !m.identity.IsFormed || (m.isLost && !m.isTold) {
		return
	}
	wasNamed := m.isNamed()
	m.ballots.Decided = record
	m.ballots.Voter = ballot.Voter{}
	m.isLost = m.isLost && (record.Primary == m.self || record.Backup == m.self)
	m.saveBallots()
	m.isUnsettled = false
	m.isAhead = m.isAhead && record.Primary == m.self && record.Backup != ""
	m.round, m.repairing = nil, nil
	clear(m.grantsBy)
	m.grantTo, m.grantAt = record.Primary, now
	m.waitUntil = 0
	if record.Primary != m.self {
		m.primacy = 0
		m.failQueue()
	}
	if record.Primary == m.self && !wasNamed {
		m.acks = map[string]time.Duration{}
		m.spares = map[string]table.Stamp{}
		m.shunned = map[string]time.Duration{}
		m.safe = m.copy
	}
	m.turned(record, why)
	if record.Primary == m.self {
		m.renewed = now - m.timing.Renew
		if !m.isUnpaired() {
			m.backed(now)
		}
	}
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

func (m *Machine) onRenew(from string, renew Renew, now time.Duration) {
	m.adopt(renew.Record, now, "renewal")
	if m.identity == nil || !m.identity.IsFormed || m.isLost {
		return
	}
	decided := m.ballots.Decided
	isPromisedAway := m.ballots.Voter.Promised.Name != "" && m.ballots.Voter.Promised.Name != from
	isGranted := decided == renew.Record && decided.Primary == from && !isPromisedAway
	if isGranted {
		m.grantTo, m.grantAt = from, now
	}
	ack := RenewAck{Decided: decided, Sent: renew.Sent, Life: renew.Life, IsGranted: isGranted, IsMute: m.ballots.Muted > decided.Epoch}
	if m.wall != 0 {
		ack.Wall = m.wall + int64(now-m.wallAt)
	}
	m.send(from, ack)
}

func (m *Machine) onRenewAck(from string, ack RenewAck, now time.Duration) {
	m.adopt(ack.Decided, now, "a voter is ahead")
	if !m.isNamed() || ack.Sent > now || m.life == 0 || (ack.Life != 0 && ack.Life != m.life) {
		return
	}
	m.acks[from] = now
	if ack.Wall != 0 && now-ack.Sent < clockTrip {
		m.walls[from] = ack.Wall - int64(ack.Sent+(now-ack.Sent)/2)
	}
	if ack.IsMute {
		m.mutes[from] = true
	}
	if ack.IsGranted && ack.Decided == m.ballots.Decided {
		m.grants()[from] = max(m.grants()[from], ack.Sent)
		m.reckon(now)
		m.pump(now)
	}
}

func (m *Machine) propose(record Record, now time.Duration) {
	if m.IsMuted() {
		return
	}
	m.roundNo = max(m.roundNo, m.ballots.Voter.Promised.Round) + 1
	number := ballot.Number{Round: m.roundNo, Name: m.self}
	m.round = ballot.NewRound(number, len(m.Voters()), table.Encode(record), now)
	m.roundFor = m.ballots.Decided
	m.isUnsettled, m.retry = true, 0
	rank := slices.Index(m.Voters(), m.self)
	m.waitUntil = now + m.timing.Reply/2 + time.Duration(rank)*m.timing.Reply/4
	prepare := Prepare{Decided: m.ballots.Decided, Number: number, Stamp: m.copy.Stamp}
	m.others(func(name string) { m.send(name, prepare) })
	if m.ballots.Voter.Promise(number) {
		m.saveBallots()
		m.onPromised(m.self, Promised{
			Epoch: m.roundFor.Epoch + 1, Number: number, IsGiven: true,
			Accepted: m.ballots.Voter.Accepted, Value: m.ballots.Voter.Value,
		}, now)
	}
}

func (m *Machine) onPrepare(from string, ask Prepare, now time.Duration) {
	m.adopt(ask.Decided, now, "candidate is ahead")
	if m.identity == nil || !m.identity.IsFormed || m.isLost {
		return
	}
	decided := m.ballots.Decided
	answer := Promised{Epoch: ask.Decided.Epoch + 1, Number: ask.Number, Decided: decided}
	isEntitled := decided == ask.Decided && (from == decided.Primary || from == decided.Backup || m.yieldsTo(from, ask.Stamp, now))
	answer.Wait = m.bound(from, now)
	if !isEntitled || answer.Wait > 0 || m.ballots.Muted > decided.Epoch {
		m.send(from, answer)
		return
	}
	answer.Accepted, answer.Value = m.ballots.Voter.Accepted, m.ballots.Voter.Value
	answer.IsGiven = m.ballots.Voter.Promise(ask.Number)
	answer.Higher = m.ballots.Voter.Promised
	if answer.IsGiven {
		m.saveBallots()
	}
	m.send(from, answer)
}

// bound says for how long this machine votes for no such candidate: its grant
// to another, or its own primacy, may still be relied on, or one that it has
// forgotten with its last run.
func (m *Machine) bound(candidate string, now time.Duration) time.Duration {
	until := time.Duration(0)
	if m.grantTo != "" && m.grantTo != candidate {
		until = m.grantAt + m.timing.Primacy
	}
	if m.isNamed() {
		until = max(until, m.primacy)
	}
	if candidate != m.ballots.Decided.Primary {
		until = max(until, m.started+m.timing.Primacy)
	}
	return max(until-now, 0)
}

func (m *Machine) onPromised(from string, promised Promised, now time.Duration) {
	m.adopt(promised.Decided, now, "a voter is ahead")
	m.roundNo = max(m.roundNo, promised.Higher.Round)
	isCurrent := m.round != nil && promised.Number == m.round.Number
	if isCurrent && !promised.IsGiven && promised.Wait > 0 && (m.retry == 0 || now+promised.Wait < m.retry) {
		m.retry = now + promised.Wait
	}
	if isCurrent && !promised.IsGiven && (from == m.ballots.Decided.Primary || m.isUnnamed()) {
		m.waitUntil = max(m.waitUntil, now+promised.Wait)
	}
	if m.round == nil || !promised.IsGiven || promised.Number != m.round.Number || promised.Epoch != m.roundFor.Epoch+1 {
		return
	}
	if !m.round.OnPromise(from, promised.Accepted, promised.Value) {
		return
	}
	accept := Accept{Epoch: m.roundFor.Epoch + 1, Number: m.round.Number, Value: m.round.Value}
	isOurs := m.ballots.Voter.Accept(accept.Number, accept.Value)
	if isOurs {
		m.saveBallots()
	}
	m.others(func(name string) { m.send(name, accept) })
	if isOurs {
		m.onAccepted(m.self, Accepted{Epoch: accept.Epoch, Number: accept.Number}, now)
	}
}

func (m *Machine) onAccept(from string, accept Accept, now time.Duration) {
	if m.identity == nil || !m.identity.IsFormed || m.isLost || accept.Epoch != m.ballots.Decided.Epoch+1 {
		return
	}
	if m.ballots.Muted >= accept.Epoch || m.bound(from, now) > 0 || !m.ballots.Voter.Accept(accept.Number, accept.Value) {
		return
	}
	m.saveBallots()
	m.send(from, Accepted{Epoch: accept.Epoch, Number: accept.Number})
}

func (m *Machine) onAccepted(from string, accepted Accepted, now time.Duration) {
	if m.round == nil || accepted.Number != m.round.Number || accepted.Epoch != m.roundFor.Epoch+1 {
		return
	}
	if !m.round.OnAccepted(from) {
		return
	}
	var record Record
	if table.Decode(m.round.Value, &record) != nil {
		return
	}
	m.adopt(record, now, "ballot won")
	m.others(func(name string) { m.send(name, Decided{Record: record}) })
}

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
		stamp := table.Stamp{Epoch: m.ballots.Decided.Epoch, Sequence: before.Sequence + 1}
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

func (m *Machine) onWrite(from string, sent Write, now time.Duration) {
	m.adopt(sent.Record, now, "write from the primary")
	decided := m.ballots.Decided
	isOurs := decided == sent.Record && decided.Primary == from && !m.isLost && (decided.Backup == m.self || m.sparesWanted() > 0) && !m.isGivenAway(from)
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

func (m *Machine) onOffer(from string, offer Offer, now time.Duration) {
	m.adopt(offer.Record, now, "offer")
	if m.ballots.Decided != offer.Record || offer.Record.Primary != from || m.isLost || m.isGivenAway(from) {
		return
	}
	ranks := table.Differ(m.copy.Digests(), offer.Digests)
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
	if m.ballots.Decided != fill.Record || fill.Record.Primary != from || m.isLost || m.isGivenAway(from) {
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
		m.propose(Record{Epoch: m.ballots.Decided.Epoch + 1, Primary: m.self, Backup: from}, now)
	}
}

func (m *Machine) turned(record Record, why string) {
	m.emit(Turned{Record: record, Why: why, Table: m.safe})
}
