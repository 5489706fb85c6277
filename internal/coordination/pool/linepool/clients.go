package linepool

import (
	"cmp"
	"slices"
	"time"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// Met takes a session that was accepted; nil says that the node has as many
// as it takes.
func (m *Machine) Met(token any, now time.Duration) *Client {
	if len(m.clients) >= m.timing.Clients {
		m.count("clients_refused", 1)
		return nil
	}
	m.ranks++
	made := &Client{Token: token, state: lineproto.StateIdle, rank: m.ranks, used: now}
	m.clients[made] = true
	m.count("clients_met", 1)
	return made
}

// Gone tells that a client's session ended.
func (m *Machine) Gone(c *Client, now time.Duration) {
	if c.isGone {
		return
	}
	c.isGone = true
	delete(m.clients, c)
	c.inbox = nil
	if j := c.job; j != nil {
		m.forsake(j, now)
	}
	m.endTurn(c, now)
}

func (m *Machine) end(c *Client, now time.Duration) {
	if !c.isGone {
		m.emit(Close{Client: c})
		m.Gone(c, now)
	}
}

// Connect takes a client's connect.
func (m *Machine) Connect(c *Client, name string, now time.Duration) {
	if c.isGone {
		return
	}
	if c.isMet || c.name != "" {
		m.Bad(c, lineproto.CodeMalformed, "connected already", now)
		return
	}
	c.name, c.used = name, now
	m.guests = append(m.guests, c)
	m.welcome(now)
}

func (m *Machine) welcome(now time.Duration) {
	if len(m.guests) == 0 {
		return
	}
	isLeased := m.serve.IsLeased(now)
	set := m.effective(now)
	var kept []*Client
	for _, c := range m.guests {
		if c.isGone {
			continue
		}
		if !isLeased || set.Sequence == 0 {
			if now-c.used < m.timing.Welcome && !m.isCutOff(now) {
				kept = append(kept, c)
				continue
			}
			m.count("clients_not_welcomed", 1)
			m.fail(c, lineproto.CodeBusy, "not served now; come back in 500 ms", false)
			m.end(c, now)
			continue
		}
		if _, isBound := set.Find(c.name); !isBound {
			m.fail(c, lineproto.CodeNoDatabase, c.name, false)
			m.end(c, now)
			continue
		}
		c.isMet = true
		m.say(c, lineproto.Message{Kind: lineproto.KindReady, State: c.state})
	}
	m.guests = kept
}

// Bad takes a message that makes no sense; it is answered and the session
// ends.
func (m *Machine) Bad(c *Client, code lineproto.Code, text string, now time.Duration) {
	if c.isGone {
		return
	}
	m.count("clients_malformed", 1)
	m.fail(c, code, text, false)
	m.end(c, now)
}

// Query takes a client's query.
func (m *Machine) Query(c *Client, asked Asked, now time.Duration) {
	if c.isGone {
		return
	}
	if !c.isMet {
		m.Bad(c, lineproto.CodeMalformed, "not connected", now)
		return
	}
	if c.job != nil {
		if len(c.inbox) >= m.timing.Inbox {
			m.Bad(c, lineproto.CodeTooLong, "too much sent ahead", now)
			return
		}
		c.inbox = append(c.inbox, asked)
		return
	}
	c.used = now
	m.take(c, asked, now)
}

func (m *Machine) next(c *Client, now time.Duration) {
	c.used = now
	for len(c.inbox) > 0 && c.job == nil && !c.isGone {
		asked := c.inbox[0]
		c.inbox = c.inbox[1:]
		m.take(c, asked, now)
	}
}

func (m *Machine) say(c *Client, messages ...lineproto.Message) {
	if !c.isGone {
		m.emit(Say{Client: c, Messages: messages})
	}
}

func (m *Machine) ready(c *Client, position model.Position) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindReady, State: c.state, Position: position}
}

func (m *Machine) fail(c *Client, code lineproto.Code, text string, hasReady bool) {
	messages := []lineproto.Message{{Kind: lineproto.KindError, Code: code, Text: text}}
	if hasReady {
		messages = append(messages, m.ready(c, model.Position{}))
	}
	m.say(c, messages...)
}

func (m *Machine) done(c *Client) {
	m.say(c, lineproto.Message{Kind: lineproto.KindDone, Tail: "-"}, m.ready(c, model.Position{}))
}

type taker func(m *Machine, c *Client, asked Asked, now time.Duration)

var takers map[lineproto.Act]taker

func init() {
	takers = map[lineproto.Act]taker{
		lineproto.ActBegin:     func(m *Machine, c *Client, _ Asked, now time.Duration) { m.begin(c, false, now) },
		lineproto.ActBeginRead: func(m *Machine, c *Client, _ Asked, now time.Duration) { m.begin(c, true, now) },
		lineproto.ActCommit:    (*Machine).commit,
		lineproto.ActRollback:  func(m *Machine, c *Client, _ Asked, now time.Duration) { m.rollback(c, now) },
		lineproto.ActSet: func(m *Machine, c *Client, asked Asked, _ time.Duration) {
			if c.values == nil {
				c.values = map[string]string{}
			}
			c.values[asked.Statement.Name] = asked.Statement.Value
			m.done(c)
		},
		lineproto.ActPrepare: func(m *Machine, c *Client, asked Asked, _ time.Duration) {
			if c.shapes == nil {
				c.shapes = map[string]shape{}
			}
			c.shapes[asked.Statement.Name] = shape{text: asked.Statement.Shape, isWrite: asked.Statement.IsWrite}
			m.done(c)
		},
		lineproto.ActForget: func(m *Machine, c *Client, asked Asked, _ time.Duration) {
			if _, isHeld := c.shapes[asked.Statement.Name]; !isHeld {
				m.fail(c, lineproto.CodeNotFound, asked.Statement.Name, true)
				return
			}
			delete(c.shapes, asked.Statement.Name)
			m.done(c)
		},
		lineproto.ActRead:  (*Machine).statement,
		lineproto.ActWrite: (*Machine).statement,
		lineproto.ActRun:   (*Machine).statement,
	}
}

func (m *Machine) take(c *Client, asked Asked, now time.Duration) {
	act, isKnown := takers[asked.Statement.Act]
	isEnd := asked.Statement.Act == lineproto.ActCommit || asked.Statement.Act == lineproto.ActRollback
	if !isKnown || (c.state == lineproto.StateFailed && !isEnd) {
		if c.state == lineproto.StateInside {
			m.breakTurn(c, now)
		}
		m.fail(c, lineproto.CodeMalformed, "not taken in this state", true)
		return
	}
	act(m, c, asked, now)
}

func (m *Machine) begin(c *Client, isRead bool, now time.Duration) {
	if c.state != lineproto.StateIdle {
		m.breakTurn(c, now)
		m.fail(c, lineproto.CodeMalformed, "inside a transaction already", true)
		return
	}
	c.state, c.turn = lineproto.StateInside, &turn{isRead: isRead}
	m.done(c)
}

func (m *Machine) breakTurn(c *Client, now time.Duration) {
	m.endTurn(c, now)
	c.state = lineproto.StateFailed
}

// endTurn gives up a client's transaction where it has one: what an instance
// holds of it is rolled back.
func (m *Machine) endTurn(c *Client, now time.Duration) {
	held := c.turn
	c.turn = nil
	if held == nil || held.conn == nil {
		return
	}
	conn := held.conn
	held.conn = nil
	conn.owner = nil
	if conn.state != connIdle || conn.leg != nil {
		m.shut(conn, now)
		return
	}
	conn.isDirty = conn.isDirty || conn.isSet
	m.send(conn, nil, []Out{{Kind: OutRollback}})
}

func (m *Machine) rollback(c *Client, now time.Duration) {
	if c.state == lineproto.StateIdle {
		m.fail(c, lineproto.CodeMalformed, "no transaction", true)
		return
	}
	m.endTurn(c, now)
	c.state = lineproto.StateIdle
	m.done(c)
}

func (m *Machine) commit(c *Client, asked Asked, now time.Duration) {
	if c.state == lineproto.StateIdle {
		m.fail(c, lineproto.CodeMalformed, "no transaction", true)
		return
	}
	if c.state == lineproto.StateFailed || c.turn.isLost {
		m.endTurn(c, now)
		c.state = lineproto.StateIdle
		m.fail(c, lineproto.CodeAborted, "the transaction had failed; nothing is kept", true)
		return
	}
	m.enter(&Job{client: c, asked: asked, isCommit: true, turn: c.turn}, now)
}

func (m *Machine) statement(c *Client, asked Asked, now time.Duration) {
	j := &Job{client: c, asked: asked, isWrite: asked.Statement.Act == lineproto.ActWrite, turn: c.turn}
	if asked.Statement.Act == lineproto.ActRun {
		held, isHeld := c.shapes[asked.Statement.Name]
		if !isHeld {
			if c.turn != nil {
				m.breakTurn(c, now)
			}
			m.fail(c, lineproto.CodeNotFound, asked.Statement.Name, true)
			return
		}
		j.shape, j.isWrite = held, held.isWrite
	}
	if c.turn != nil && c.turn.isLost {
		m.breakTurn(c, now)
		m.fail(c, lineproto.CodeAborted, "the transaction was lost with its instance; nothing is kept", true)
		return
	}
	m.enter(j, now)
}

// Leave makes the node unready; after a while sessions end as they rest.
func (m *Machine) Leave(now time.Duration) {
	if !m.isLeaving {
		m.isLeaving, m.leftAt = true, now
	}
}

func (m *Machine) leaving(now time.Duration) {
	m.welcome(now)
	isDue := now-m.looked > 200*time.Millisecond
	if !isDue && !m.isLeaving {
		return
	}
	m.looked = now
	inside := m.inside(now)
	for _, c := range m.sorted() {
		isResting := c.turn != nil && c.job == nil && now-c.used > inside
		if isResting && !c.turn.isLost {
			m.count("transactions_rested_out", 1)
			m.loseTurn(c, now)
		}
	}
	past := now - m.leftAt
	if !m.isLeaving || past < m.timing.Linger {
		return
	}
	for _, c := range m.sorted() {
		isIdle := c.state == lineproto.StateIdle && c.job == nil && len(c.inbox) == 0
		isOut := past > m.timing.Turns && c.job == nil
		if isIdle || isOut || past > m.timing.Finish {
			m.end(c, now)
		}
	}
}

func (m *Machine) inside(now time.Duration) time.Duration {
	if bound := m.effective(now).Limits.Inside; bound > 0 {
		return bound
	}
	return m.timing.Inside
}

func (m *Machine) sorted() []*Client {
	list := make([]*Client, 0, len(m.clients))
	for c := range m.clients {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *Client) int { return cmp.Compare(a.rank, b.rank) })
	return list
}

// IsDrained says whether no session is left.
func (m *Machine) IsDrained() bool { return len(m.clients) == 0 }

// Bye takes a client's good-bye.
func (m *Machine) Bye(c *Client, now time.Duration) { m.end(c, now) }
