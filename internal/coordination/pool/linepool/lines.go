package linepool

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/coordination/balancer"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

func (m *Machine) enter(j *Job, now time.Duration) {
	j.client.job, j.arrived = j, now
	j.deadline = now + m.timing.Timeout
	m.bind(j, now)
}

// bind finds the binding in force; one inside a transaction keeps that of its
// begin. Without a lease it waits.
func (m *Machine) bind(j *Job, now time.Duration) {
	isStarted := j.turn != nil && j.turn.conn != nil
	if !m.serve.IsLeased(now) && !(isStarted && j.turn.isRead) {
		if binding, isBound := m.effective(now).Find(j.client.name); isBound && binding.Timeout > 0 {
			j.deadline = j.arrived + binding.Timeout
		}
		if m.isCutOff(now) {
			m.count("refused_cut_off", 1)
			m.refuse(j, lineproto.CodeBusy, "not served now; come back in 500 ms", now)
			return
		}
		j.phase = phaseLease
		m.leaseless = append(m.leaseless, j)
		return
	}
	if isStarted {
		j.binding = j.turn.binding
	} else {
		binding, isBound := m.effective(now).Find(j.client.name)
		if !isBound {
			m.refuse(j, lineproto.CodeNoDatabase, j.client.name, now)
			return
		}
		j.binding = binding
		if j.turn != nil {
			j.turn.binding = binding
		}
	}
	if j.binding.Timeout > 0 {
		j.deadline = j.arrived + j.binding.Timeout
	}
	if now >= j.deadline {
		m.count("timeouts", 1)
		m.lateInLine(j, now)
		return
	}
	isReading := !j.isWrite && !j.isCommit
	if j.turn != nil {
		isReading = j.turn.isRead
	}
	j.isStrict = !isReading || j.binding.Freshness == 0
	m.join(j, now)
}

func (m *Machine) rebind(now time.Duration) {
	if len(m.leaseless) == 0 {
		return
	}
	waiting := m.leaseless
	m.leaseless = nil
	for _, j := range waiting {
		if j.phase == phaseLease {
			m.bind(j, now)
		}
	}
}

func (m *Machine) join(j *Job, now time.Duration) {
	one := m.base(j.binding.Database)
	j.phase = phaseLine
	list := m.listOf(one, j)
	if len(*list) >= m.timing.Line {
		m.refuse(j, lineproto.CodeBusy, "the line is full; come back in 500 ms", now)
		return
	}
	*list = append(*list, j)
	for at := len(*list) - 1; at > 0 && (*list)[at-1].binding.Priority > j.binding.Priority; at-- {
		(*list)[at], (*list)[at-1] = (*list)[at-1], (*list)[at]
	}
	m.pump(one, now)
}

func (m *Machine) listOf(one *base, j *Job) *[]*Job {
	if j.turn != nil && j.turn.conn != nil {
		return &one.turns
	}
	if j.isStrict {
		return &one.writes
	}
	return &one.reads
}

func remove(list *[]*Job, j *Job) {
	if at := slices.Index(*list, j); at >= 0 {
		*list = slices.Delete(*list, at, at+1)
	}
}

func (m *Machine) unline(j *Job) {
	one := m.base(j.binding.Database)
	for _, list := range []*[]*Job{&one.turns, &one.writes, &one.reads} {
		remove(list, j)
	}
}

func (m *Machine) pump(one *base, now time.Duration) {
	if len(one.turns) > 0 {
		m.pumpTurns(one, now)
	}
	if len(one.writes) > 0 && m.serve.IsLeased(now) {
		m.pumpWrites(one, now)
	}
	if len(one.reads) > 0 && m.serve.IsLeased(now) {
		m.pumpReads(one, now)
	}
}

// isDue says whether a statement in line may go out now; one whose time is
// over is about to be ended.
func (j *Job) isDue(now time.Duration) bool {
	return j.phase == phaseLine && now >= j.restAt && now < j.deadline
}

func (m *Machine) pumpTurns(one *base, now time.Duration) {
	for _, j := range slices.Clone(one.turns) {
		if j.phase != phaseLine {
			continue
		}
		conn := j.turn.conn
		if conn == nil || j.turn.isLost {
			m.unline(j)
			m.abortTurn(j, now)
			continue
		}
		writer, _, isOpen := m.writer(one)
		isFenced := !j.turn.isRead && (!isOpen || writer.Term != conn.term || !m.serve.IsLeased(now))
		if !isFenced && j.isDue(now) && conn.back.window.HasRoom() {
			j.term = conn.term
			m.pass(j, conn, now)
		}
	}
}

func (m *Machine) pumpWrites(one *base, now time.Duration) {
	writer, target, isOpen := m.writer(one)
	if !isOpen || !m.serve.MayWrite(one.name, writer.Term, now) || m.isSpent(target, now) {
		return
	}
	for _, j := range slices.Clone(one.writes) {
		if !target.window.HasRoom() {
			return
		}
		if !j.isDue(now) {
			continue
		}
		conn := m.spare(target, j.client)
		if conn == nil {
			m.grow(target, len(one.writes), now)
			return
		}
		j.term, j.floor = writer.Term, model.Position{}
		m.pass(j, conn, now)
	}
}

func (m *Machine) pumpReads(one *base, now time.Duration) {
	misses := 0
	for _, j := range slices.Clone(one.reads) {
		if misses > 8 {
			return
		}
		if !j.isDue(now) {
			continue
		}
		target, floor := m.selectBack(one, j, j.avoid, now)
		if target == nil && j.avoid != nil {
			target, floor = m.selectBack(one, j, nil, now)
		}
		var conn *Conn
		if target != nil {
			conn = m.spare(target, j.client)
		}
		if conn == nil {
			misses++
			if target != nil {
				m.grow(target, len(one.reads), now)
			}
			continue
		}
		j.term, j.floor = m.serve.Writer(one.name).Term, floor
		m.pass(j, conn, now)
	}
}

// floorOf gives a position that covers all that a read must see: whatever was
// told kept before the bound, and the session's own commits.
func (m *Machine) floorOf(one *base, j *Job) (floor model.Position, isKnown bool) {
	least := j.arrived - j.binding.Freshness + freshMargin
	for _, seen := range one.samples {
		if seen.at >= least {
			floor, isKnown = seen.position, true
			break
		}
	}
	if own := j.client.marks[one.name]; j.binding.IsOwn {
		floor = floor.Later(own.position)
	}
	return floor, isKnown
}

const freshMargin = 100 * time.Millisecond

func (m *Machine) selectBack(one *base, j *Job, not *back, now time.Duration) (*back, model.Position) {
	var choices []balancer.Choice
	var targets []*back
	floor, isKnown := m.floorOf(one, j)
	own := j.client.marks[one.name]
	isFresh := !j.binding.IsOwn || now-own.at > m.timing.Caught
	writer, primary, isOpen := m.writer(one)
	for _, held := range m.backs {
		isOff := m.bases[held.database] != one || held.leavingAt != 0 || held.info.IsGone || held == not
		if isOff {
			continue
		}
		isHead := held == primary
		reading := held.window.Read()
		isRead := isKnown && !isHead && held.info.Role != model.RolePrimary && now >= held.lagUntil && (isFresh || !held.position.IsBefore(floor))
		choices = append(choices, balancer.Choice{
			HasRoom: held.window.HasRoom() && (len(held.idle) > 0 || m.canGrow(held, now)), IsNear: held.info.Zone == m.place.Zone,
			IsFresh:  isRead || (isHead && isOpen && m.serve.MayWrite(one.name, writer.Term, now)),
			Pressure: float64(reading.Open+reading.Ghosts) / max(reading.Window, 1), Cal: reading.Cal,
			Factor: held.grade.Factor(now),
		})
		targets = append(targets, held)
	}
	best := balancer.Select(choices)
	if best < 0 {
		return nil, model.Position{}
	}
	if targets[best] == primary {
		floor = model.Position{}
	}
	return targets[best], floor
}

func (m *Machine) canGrow(held *back, now time.Duration) bool {
	return len(held.conns) < held.share.Most && now >= held.restAt && held.info.Address != ""
}

func (m *Machine) grow(target *back, waiting int, now time.Duration) {
	want := min(waiting, max(target.window.Room(), 1))
	for target.opening < want && m.canGrow(target, now) {
		conn := &Conn{back: target, state: connOpening, opened: now}
		target.opening++
		target.conns = append(target.conns, conn)
		m.emit(Open{Conn: conn, Address: target.info.Address, Database: target.info.Database, Instance: target.info.Name})
	}
}

// spare gives an idle connection, best one that has the client's values.
func (m *Machine) spare(target *back, c *Client) *Conn {
	best := -1
	for at := len(target.idle) - 1; at >= 0; at-- {
		lacks := misfit(target.idle[at], c)
		if best < 0 || lacks < misfit(target.idle[best], c) {
			best = at
		}
		if lacks == 0 {
			break
		}
	}
	if best < 0 {
		return nil
	}
	conn := target.idle[best]
	target.idle = slices.Delete(target.idle, best, best+1)
	return conn
}

func misfit(conn *Conn, c *Client) int {
	lacks := 0
	if conn.isDirty {
		return 3
	}
	for name, value := range conn.values {
		held, isHeld := c.values[name]
		if !isHeld {
			return 2
		}
		if held != value {
			lacks = 1
		}
	}
	if len(c.values) > len(conn.values) {
		lacks = 1
	}
	return lacks
}

// pass sends a statement to an instance, with what must go before it.
func (m *Machine) pass(j *Job, conn *Conn, now time.Duration) {
	m.unline(j)
	one := m.base(j.binding.Database)
	var outs []Out
	isTurn := j.turn != nil
	isFirst := isTurn && j.turn.conn == nil
	outs = m.dress(conn, j.client, j.turn != nil && !isFirst)
	if j.asked.Statement.Act == lineproto.ActRun {
		if _, isHeld := conn.shapes[j.shape.text]; !isHeld {
			conn.names++
			name := fmt.Sprintf("p%d", conn.names)
			if conn.shapes == nil {
				conn.shapes = map[string]string{}
			}
			conn.shapes[j.shape.text] = name
			outs = append(outs, Out{Kind: OutPrepare, Name: name, Value: j.shape.text})
			conn.isSet = true
		}
	}
	held := &leg{job: j, conn: conn, sentAt: now, isBegun: !isFirst}
	if isFirst {
		kind := OutBegin
		if j.turn.isRead {
			kind = OutBeginRead
		}
		conn.isSet = false
		outs = append(outs, Out{Kind: kind, Floor: j.floor})
		j.turn.conn, conn.owner, conn.term = conn, j.client, j.term
	} else {
		floor := j.floor
		if isTurn {
			floor = model.Position{}
		}
		outs = append(outs, m.textOf(j, conn, floor))
	}
	if isTurn && j.isWrite {
		j.turn.hasWrites = true
	}
	j.legs = append(j.legs, held)
	j.phase = phaseOut
	conn.back.window.Take()
	one.out = append(one.out, j)
	m.count("passed_on", 1)
	m.count("waited_us", (now - j.arrived).Microseconds())
	m.send(conn, held, outs)
}

func (m *Machine) textOf(j *Job, conn *Conn, floor model.Position) Out {
	if j.asked.Statement.Act == lineproto.ActRun {
		return Out{Kind: OutRun, ID: j.asked.ID, Name: conn.shapes[j.shape.text], Value: j.asked.Statement.Rest, Floor: floor}
	}
	return Out{Kind: OutText, ID: j.asked.ID, Text: j.asked.Text, Floor: floor}
}

// dress gives what brings a connection to the client's values; inside a
// transaction nothing is reset, since values only grow there.
func (m *Machine) dress(conn *Conn, c *Client, isInside bool) []Out {
	var outs []Out
	isOver := conn.isDirty || len(conn.shapes) > m.timing.Shapes
	for name := range conn.values {
		_, isHeld := c.values[name]
		isOver = isOver || !isHeld
	}
	if isOver && !isInside {
		outs = append(outs, Out{Kind: OutReset})
		conn.values, conn.shapes, conn.isDirty, conn.isSet = nil, nil, false, false
		m.count("connections_reset", 1)
	}
	for _, name := range sortedKeys(c.values) {
		if value, isHeld := conn.values[name]; !isHeld || value != c.values[name] {
			if conn.values == nil {
				conn.values = map[string]string{}
			}
			conn.values[name] = c.values[name]
			outs = append(outs, Out{Kind: OutSet, Name: name, Value: c.values[name]})
			conn.isSet = true
		}
	}
	return outs
}

func sortedKeys(values map[string]string) []string {
	if len(values) == 0 {
		return nil
	}
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (m *Machine) send(conn *Conn, held *leg, outs []Out) {
	for at, out := range outs {
		one := wait{kind: out.Kind}
		if at == len(outs)-1 {
			one.leg = held
		}
		conn.waits = append(conn.waits, one)
	}
	if conn.state == connIdle && held == nil {
		if at := slices.Index(conn.back.idle, conn); at >= 0 {
			conn.back.idle = slices.Delete(conn.back.idle, at, at+1)
		}
	}
	conn.state, conn.leg = connBusy, held
	m.emit(Send{Conn: conn, Outs: outs})
}

// twins sends a read that got no answer for long to a second instance.
func (m *Machine) twins(now time.Duration) {
	if !m.serve.IsLeased(now) {
		return
	}
	for _, one := range m.bases {
		for _, j := range slices.Clone(one.out) {
			if !j.isFree() || j.isTwin || j.isStrict || len(j.legs) == 0 || now-j.legs[0].sentAt < m.stall(j) {
				continue
			}
			target, floor := m.selectBack(one, j, j.legs[0].conn.back, now)
			if target == nil {
				continue
			}
			if conn := m.spare(target, j.client); conn != nil {
				j.legs[0].conn.back.grade.Note(true, now)
				j.isTwin, j.floor = true, floor
				remove(&one.out, j)
				m.count("reads_twinned", 1)
				m.pass(j, conn, now)
			}
		}
	}
}

func (m *Machine) stall(j *Job) time.Duration {
	if j.binding.Target > 0 {
		return j.binding.Target * 45 / 100
	}
	return time.Second
}
