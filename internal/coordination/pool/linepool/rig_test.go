package linepool

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// rig plays one machine against scripted instances: a is the primary of
// database x, b and c are its replicas, and y has the primary d alone.
type rig struct {
	*Machine
	now       time.Duration
	counts    map[string]int64
	said      map[*Client][]string
	over      map[*Client]bool
	opens     []Open
	sends     []Send
	shuts     []*Conn
	reports   int
	stamp     uint64
	doc       model.Doc
	instances []model.Instance
	isSlow    bool
	high      uint64
}

func newRig(connections int) *rig { return newRigOf("d1", connections) }

func newRigOf(name string, connections int) *rig {
	r := &rig{now: time.Hour, counts: map[string]int64{}, said: map[*Client][]string{}, over: map[*Client]bool{}, high: 100}
	r.Machine = New(Place{Name: name, Zone: "za", Birth: 1, Beta: 1}, DefaultTiming(), lease.DefaultTiming(), func(name string, by int64) { r.counts[name] += by })
	for at, name := range []string{"a", "b", "c", "d"} {
		database, role := "x", model.RoleReplica
		if name == "d" {
			database = "y"
		}
		if name == "a" || name == "d" {
			role = model.RolePrimary
		}
		r.instances = append(r.instances, model.Instance{
			Name: name, Database: database, Address: name + ":1", Zone: []string{"zc", "za", "zb", "za"}[at], Role: role, IsSynced: true,
		})
	}
	fresh := model.Binding{Database: "x", Timeout: 2 * time.Second, Target: 200 * time.Millisecond, Priority: 1}
	bound := func(name string, freshness time.Duration, isOwn bool) model.Binding {
		one := fresh
		one.Name, one.Freshness, one.IsOwn = name, freshness, isOwn
		return one
	}
	urgent := bound("urgent", 0, false)
	urgent.Priority = 0
	other := bound("other", 0, false)
	other.Database = "y"
	r.doc = model.Doc{
		Writers: map[string]model.Writer{
			"x": {Database: "x", Term: 3, Primary: "a", Phase: model.PhaseOpen, IsSynced: true},
			"y": {Database: "y", Term: 1, Primary: "d", Phase: model.PhaseOpen, IsSynced: true},
		},
		Sets: []model.Set{{
			Sequence: 1, Moment: 1, Version: 5, Limits: model.Limits{Inside: 3 * time.Second},
			Databases: []model.Database{{Name: "x", Connections: connections, Synced: 1}, {Name: "y", Connections: connections, Synced: 1}},
			Bindings:  []model.Binding{bound("strict", 0, false), bound("stale", 1500*time.Millisecond, false), bound("own", 1500*time.Millisecond, true), urgent, other},
		}},
	}
	r.news(1600 * time.Millisecond)
	return r
}

// news brings the state as it is now, with a lease.
func (r *rig) news(length time.Duration) {
	r.stamp++
	doc := r.doc
	doc.Stamp = store.Stamp{Epoch: 1, Sequence: r.stamp}
	doc.Writers = map[string]model.Writer{}
	for name, writer := range r.doc.Writers {
		doc.Writers[name] = writer
	}
	doc.Sets = slices.Clone(r.doc.Sets)
	r.Took(distribution.News{
		IsPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "c1"}, Lease: length, Wall: int64(r.now), Doc: &doc,
		Roll: distribution.Roll{Tenure: "t", Number: r.stamp}, Instances: slices.Clone(r.instances),
	}, r.now, r.now)
	r.flow()
}

func (r *rig) role(phase, primary string, term uint64) {
	r.doc.Writers["x"] = model.Writer{Database: "x", Term: term, Primary: primary, Phase: phase, IsSynced: true}
	r.news(1600 * time.Millisecond)
}

func (r *rig) instance(name string) *model.Instance {
	return &r.instances[slices.IndexFunc(r.instances, func(one model.Instance) bool { return one.Name == name })]
}

func (r *rig) flow() {
	for {
		effects := r.Effects()
		if len(effects) == 0 && (r.isSlow || len(r.opens) == 0) {
			return
		}
		for _, effect := range effects {
			r.carry(effect)
		}
		if len(effects) == 0 {
			r.took(r.opens[0])
		}
	}
}

func (r *rig) carry(effect Effect) {
	if say, isOne := effect.(Say); isOne {
		var lines []string
		for _, message := range say.Messages {
			lines = append(lines, shown(message))
		}
		r.said[say.Client] = append(r.said[say.Client], strings.Join(lines, " / "))
	}
	if over, isOne := effect.(Close); isOne {
		r.over[over.Client] = true
	}
	if send, isOne := effect.(Send); isOne {
		if send.Conn.IsOver() {
			So(texts(send), ShouldEqual, "sent on a connection that is over")
		}
		r.sends = append(r.sends, send)
	}
	if shut, isOne := effect.(Shut); isOne {
		r.shuts = append(r.shuts, shut.Conn)
		r.sends = slices.DeleteFunc(r.sends, func(send Send) bool { return send.Conn == shut.Conn })
		r.opens = slices.DeleteFunc(r.opens, func(open Open) bool { return open.Conn == shut.Conn })
	}
	if open, isOne := effect.(Open); isOne {
		r.opens = append(r.opens, open)
	}
	if _, isOne := effect.(Report); isOne {
		r.reports++
	}
}

func (r *rig) took(open Open) {
	r.opens = slices.DeleteFunc(r.opens, func(one Open) bool { return one.Conn == open.Conn })
	r.Came(open.Conn, r.at(lineproto.StateIdle), r.now)
}

// welcomed lets an instance take a connection.
func (r *rig) welcomed(open Open) {
	r.took(open)
	r.flow()
}

func (r *rig) position() model.Position {
	return model.Position{Term: r.doc.Writers["x"].Term, Index: r.high}
}

var codes = map[lineproto.Code]string{
	lineproto.CodeOther: "OTHER", lineproto.CodeBusy: "BUSY", lineproto.CodeAborted: "ABORTED", lineproto.CodeLagging: "LAGGING",
	lineproto.CodeReadOnly: "READONLY", lineproto.CodeWrongHost: "WRONGHOST", lineproto.CodeFull: "FULL", lineproto.CodeUnknown: "UNKNOWN",
	lineproto.CodeTimeout: "TIMEOUT", lineproto.CodeFailed: "FAILED", lineproto.CodeNotFound: "NOTFOUND", lineproto.CodeNoDatabase: "NODB",
	lineproto.CodeTooLong: "TOOLONG", lineproto.CodeMalformed: "MALFORMED",
}

var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "FULL"}

var shows = map[lineproto.Kind]func(lineproto.Message) string{
	lineproto.KindRow:   func(one lineproto.Message) string { return "ROW " + one.Tail },
	lineproto.KindDone:  func(one lineproto.Message) string { return "DONE " + one.Tail },
	lineproto.KindError: func(one lineproto.Message) string { return "ERROR " + codes[one.Code] },
	lineproto.KindReady: func(one lineproto.Message) string { return "READY " + string(one.State) },
}

func shown(message lineproto.Message) string { return shows[message.Kind](message) }

// nodes names so many nodes, the rig's own among them.
func nodes(count int) []string {
	names := make([]string, count)
	for at := range names {
		names[at] = fmt.Sprintf("d%d", at+1)
	}
	return names
}

func (r *rig) pass(span time.Duration) {
	r.now += span
	r.Beat(nodes(1), 1, r.now)
	r.flow()
}

// wait passes time in beats, with a lease all the while.
func (r *rig) wait(span time.Duration) {
	for end := r.now + span; r.now < end; {
		r.pass(min(25*time.Millisecond, end-r.now))
		r.news(1600 * time.Millisecond)
	}
}

func (r *rig) client(name string) *Client {
	c := r.Met(nil, r.now)
	r.Connect(c, name, r.now)
	r.flow()
	return c
}

func (r *rig) query(c *Client, asked Asked) {
	r.Query(c, asked, r.now)
	r.flow()
}

// heard gives the last answer to a client.
func (r *rig) heard(c *Client) string {
	if len(r.said[c]) == 0 {
		return ""
	}
	return r.said[c][len(r.said[c])-1]
}

func (r *rig) answers(c *Client) int { return len(r.said[c]) }

// next takes the oldest write to an instance that is not answered.
func (r *rig) next() Send {
	So(len(r.sends), ShouldBeGreaterThan, 0)
	send := r.sends[0]
	r.sends = r.sends[1:]
	return send
}

func (r *rig) came(conn *Conn, messages ...lineproto.Message) {
	for _, message := range messages {
		r.Came(conn, message, r.now)
	}
	r.flow()
}

func ok(tail string) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindDone, Tail: tail}
}

func row(tail string) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindRow, Tail: tail}
}

func bad(code lineproto.Code) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindError, Code: code, Tail: codes[code] + " so"}
}

func (r *rig) at(state byte) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindReady, State: state, Position: r.position()}
}

// answer answers a write to an instance: what goes before the last is done.
func (r *rig) answer(send Send, state byte, messages ...lineproto.Message) {
	for range send.Outs[:len(send.Outs)-1] {
		r.came(send.Conn, ok("-"), r.at(lineproto.StateIdle))
	}
	r.came(send.Conn, append(messages, r.at(state))...)
}

// begun lets an instance begin the transaction of the next write, and gives
// the write of the statement itself.
func (r *rig) begun() Send {
	send := r.next()
	So([]OutKind{OutBegin, OutBeginRead}, ShouldContain, send.Outs[len(send.Outs)-1].Kind)
	r.answer(send, lineproto.StateInside, ok("-"))
	return r.next()
}

func (r *rig) lost(conn *Conn) {
	r.Lost(conn, r.now)
	r.sends = slices.DeleteFunc(r.sends, func(send Send) bool { return send.Conn == conn })
	r.flow()
}

var outs = map[OutKind]func(Out) string{
	OutText:      func(out Out) string { return out.Text },
	OutBegin:     func(Out) string { return "begin" },
	OutBeginRead: func(Out) string { return "begin read" },
	OutRollback:  func(Out) string { return "rollback" },
	OutReset:     func(Out) string { return "reset" },
	OutSet:       func(out Out) string { return "set " + out.Name + "=" + out.Value },
	OutPrepare:   func(out Out) string { return "prepare " + out.Name + " as " + out.Value },
	OutRun:       func(out Out) string { return "run " + out.Name + out.Value },
}

func texts(send Send) string {
	var list []string
	for _, out := range send.Outs {
		list = append(list, outs[out.Kind](out))
	}
	return strings.Join(list, ", ")
}

func (send Send) to() string { return send.Conn.back.info.Name }

func (send Send) floor() model.Position { return send.Outs[len(send.Outs)-1].Floor }

var serial int

func asked(act lineproto.Act, text string) Asked {
	serial++
	return Asked{ID: fmt.Sprintf("q%d", serial), Text: text, Statement: lineproto.Statement{Act: act}}
}

func read(thing string) Asked { return asked(lineproto.ActRead, "read "+thing) }

func write(thing string) Asked { return asked(lineproto.ActWrite, "write "+thing) }

func begin() Asked { return asked(lineproto.ActBegin, "begin") }

func beginRead() Asked { return asked(lineproto.ActBeginRead, "begin read") }

func commit() Asked { return asked(lineproto.ActCommit, "commit") }

func rollback() Asked { return asked(lineproto.ActRollback, "rollback") }

func set(name, value string) Asked {
	one := asked(lineproto.ActSet, "")
	one.Statement.Name, one.Statement.Value = name, value
	return one
}

func prepare(name, text string) Asked {
	one := asked(lineproto.ActPrepare, "")
	one.Statement.Name, one.Statement.Shape, one.Statement.IsWrite = name, text, strings.HasPrefix(text, "write")
	return one
}

func runs(name, rest string) Asked {
	one := asked(lineproto.ActRun, "")
	one.Statement.Name, one.Statement.Rest = name, " "+rest
	return one
}

func forget(name string) Asked {
	one := asked(lineproto.ActForget, "")
	one.Statement.Name = name
	return one
}

// sampled lets the node learn the primary's position by a read there.
func (r *rig) sampled() {
	c := r.client("strict")
	r.query(c, read("sample"))
	r.answer(r.next(), lineproto.StateIdle, ok("s"))
	r.Bye(c, r.now)
	r.flow()
}

// sound checks what must hold of the machine after every event.
func (m *Machine) sound() string {
	legs := map[*back]int{}
	jobs := map[*Job]int{}
	for _, held := range m.backs {
		opening := 0
		for _, conn := range held.conns {
			if conn.state == connOver || conn.back != held {
				return "a connection that is over is kept"
			}
			if conn.state == connOpening {
				opening++
			}
			if conn.leg != nil {
				legs[held]++
			}
			isLent := conn.owner != nil && (conn.owner.turn == nil || conn.owner.turn.conn != conn)
			if isLent {
				return "a connection's owner does not hold it"
			}
			isLost := conn.state == connIdle && conn.owner == nil && !slices.Contains(held.idle, conn)
			if isLost {
				return "an idle connection is in no list"
			}
			isStill := conn.state == connBusy && conn.leg == nil && len(conn.waits) == 0
			if isStill {
				return "a busy connection waits for nothing"
			}
		}
		for at, conn := range held.idle {
			isBad := conn.state != connIdle || conn.owner != nil || conn.leg != nil || !slices.Contains(held.conns, conn) || slices.Contains(held.idle[:at], conn)
			if isBad {
				return "the list of idle connections is wrong"
			}
		}
		if opening != held.opening {
			return fmt.Sprintf("%s counts %d openings, has %d", held.info.Name, held.opening, opening)
		}
		if reading := held.window.Read(); reading.Open != legs[held] {
			return fmt.Sprintf("%s counts %d out, has %d", held.info.Name, reading.Open, legs[held])
		}
	}
	for _, one := range m.bases {
		for _, list := range [][]*Job{one.turns, one.writes, one.reads} {
			for _, j := range list {
				jobs[j]++
				if j.phase != phaseLine {
					return fmt.Sprintf("a line holds a statement in phase %d", j.phase)
				}
			}
		}
		for _, j := range one.out {
			jobs[j]++
			if j.phase != phaseOut || len(j.legs) == 0 {
				return "what is out is in another phase"
			}
		}
		for _, j := range one.confirms {
			jobs[j]++
			if j.phase != phaseConfirm {
				return "what is to be confirmed is in another phase"
			}
		}
	}
	for _, j := range m.leaseless {
		if j.phase == phaseLease {
			jobs[j]++
		}
	}
	for j, count := range jobs {
		if count != 1 {
			return fmt.Sprintf("a statement is in %d lists", count)
		}
		if j.client.isGone || j.client.job != j {
			return "a statement waits for a client that does not"
		}
	}
	for c := range m.clients {
		if c.job != nil && jobs[c.job] != 1 {
			return "a client waits for a statement that is nowhere"
		}
		isTurned := (c.state == lineproto.StateInside) != (c.turn != nil)
		if isTurned && c.job == nil {
			return fmt.Sprintf("a client in state %c, transaction %v", c.state, c.turn != nil)
		}
		if c.turn != nil && c.turn.conn != nil && (c.turn.conn.owner != c || c.turn.conn.state == connOver) {
			return "a transaction's connection is not its own"
		}
	}
	return ""
}
