package platformstandin

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

// States of a session in a ready line.
const (
	stateIdle          = "I"
	stateInTransaction = "T"
	stateFailed        = "E"
)

const maxLineBuffer = 64 << 10

// session is one connection to an instance. It is used by one goroutine. Others only
// write repeated answers.
type session struct {
	instance   *Instance
	connection net.Conn
	// writing is held while an answer is written, so that answers do not interleave.
	writing          sync.Mutex
	name             string
	connected        bool
	values           map[string]string
	preparedTexts    map[string]string
	transactionCount int
	transaction      *transaction
}

type transaction struct {
	number           int
	readOnly, failed bool
	// term is the instance's term at the time of BEGIN.
	term   uint64
	ids    []string
	values map[string]string
}

func (c *session) state() string {
	if c.transaction == nil {
		return stateIdle
	}
	if c.transaction.failed {
		return stateFailed
	}
	return stateInTransaction
}

// serve reads and carries out commands until the connection ends. While the
// instance is hung, serve reads commands but does not answer them.
func (c *session) serve() {
	reader := bufio.NewReaderSize(c.connection, maxLineBuffer)
	for {
		line, err := readLine(reader)
		if err != nil {
			return
		}
		hung := false
		c.instance.service.withLock(func() { hung = c.instance.hung })
		if hung {
			continue
		}
		name, arguments, _ := strings.Cut(line, " ")
		command, found := commands[name]
		if !found || (!c.connected && name != "CONNECT") {
			c.write("ERROR MALFORMED")
			return
		}
		if !command(c, arguments) {
			return
		}
	}
}

// write writes the lines of an answer, and writes them again later if the instance
// repeats this answer. It returns false if writing to the connection failed.
func (c *session) write(lines ...string) bool {
	if repeated, delay := c.instance.drawRepetition(lines); repeated != nil {
		c.instance.service.group.Go(func() { c.repeat(encodeLines(repeated), delay) })
	}
	return c.writeAnswer(encodeLines(lines))
}

func encodeLines(lines []string) []byte { return []byte(strings.Join(lines, lineEnd) + lineEnd) }

// repeat writes an answer again after a delay.
func (c *session) repeat(answer []byte, delay time.Duration) {
	s := c.instance.service
	if worker.Await(s.group.Stopping(), delay) {
		return
	}
	if c.writeAnswer(answer) {
		s.history.Update(func(h *linehistory.History) { h.RepeatedAnswers++ })
	}
}

func (c *session) writeAnswer(answer []byte) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	s := c.instance.service
	random := s.newRandom()
	if random == nil {
		_, err := c.connection.Write(answer)
		return err == nil
	}
	return writeSplit(c.connection, answer, random, s.group.Stopping()) == nil
}

// readyLine returns the line that ends each answer.
func (c *session) readyLine() string {
	position := linehistory.Position{}
	c.instance.service.withLock(func() { position = c.instance.appliedPosition() })
	return "READY " + c.state() + " " + formatPosition(position)
}

// formatPosition returns a position as it is written on the wire. "-" is the
// position before all entries.
func formatPosition(position linehistory.Position) string {
	if position == (linehistory.Position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", position.Term, position.Index)
}

// commands are the handlers of lines by the first word of the line. A handler
// returns false if the connection must be closed.
var commands = map[string]func(c *session, arguments string) bool{
	"CONNECT": (*session).connect,
	"BYE":     func(*session, string) bool { return false },
	"QUERY":   (*session).query,
}

func (c *session) connect(arguments string) bool {
	if code := c.register(strings.Fields(arguments)); code != "" {
		c.write("ERROR " + code)
		return false
	}
	c.connected = true
	return c.write(c.readyLine())
}

// register adds the session to the sessions of its instance, or returns the code
// of an error. The arguments are the name of the service, the name of the client
// and, optionally, the id of the instance to which the client wants to connect.
func (c *session) register(arguments []string) (code string) {
	i, s := c.instance, c.instance.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(arguments) < 2 || arguments[0] != s.Name || (len(arguments) > 2 && arguments[2] != i.ID) {
		return "WRONGHOST " + i.ID
	}
	if len(i.sessions) >= s.MaxConnections {
		return "FULL"
	}
	i.connectionCount++
	c.name = fmt.Sprintf("%d.%d", i.incarnation, i.connectionCount)
	i.sessions[c] = true
	return ""
}

func (c *session) query(arguments string) bool {
	id, text, _ := strings.Cut(arguments, " ")
	minPosition := linehistory.Position{}
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		position, after, _ := strings.Cut(rest, " ")
		minPosition, text = parsePosition(position), after
	}
	verb, rest, _ := strings.Cut(text, " ")
	handle, found := statementHandlers[verb]
	if !found || (c.transaction != nil && c.transaction.failed && verb != "ROLLBACK" && verb != "COMMIT") {
		return c.fail("MALFORMED " + verb)
	}
	return handle(c, &statement{id: id, text: text, rest: rest, minPosition: minPosition})
}

func parsePosition(text string) (position linehistory.Position) {
	term, index, _ := strings.Cut(text, ".")
	position.Term, _ = strconv.ParseUint(term, 10, 64)
	position.Index, _ = strconv.ParseUint(index, 10, 64)
	return position
}

// fail answers with an error. A transaction that is open has then failed and can
// only be ended.
func (c *session) fail(code string) bool {
	if c.transaction != nil {
		c.transaction.failed = true
	}
	return c.write("ERROR "+code, c.readyLine())
}

// writeDone answers a statement that has no effect on the instance.
func (c *session) writeDone() bool { return c.write("DONE -", c.readyLine()) }

// refuse answers a statement that was not run with an error. If the statement was
// a commit, its transaction ends.
func (c *session) refuse(act, code string) bool {
	if act == linehistory.ActCommit {
		c.transaction = nil
	}
	return c.fail(code)
}
