package platformstandin

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"

	"tansyseam/test/linehistory"
)

// States of a session in a ready line.
const (
	stateIdle          = "I"
	stateInTransaction = "T"
	stateFailed        = "E"
)

const maxLineBuffer = 64 << 10

// session is one connection at an instance; it is used by one goroutine.
type session struct {
	instance         *Instance
	connection       net.Conn
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
	// term is the instance's at the begin.
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

// serve reads and carries out commands until the connection ends. A hung
// instance reads on without answering.
func (c *session) serve() {
	reader := bufio.NewReaderSize(c.connection, maxLineBuffer)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		hung := false
		c.instance.service.withLock(func() { hung = c.instance.hung })
		if hung {
			continue
		}
		name, arguments, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		command, known := commands[name]
		if !known || (!c.connected && name != "CONNECT") {
			c.write("ERROR MALFORMED")
			return
		}
		if !command(c, arguments) {
			return
		}
	}
}

// write writes lines; false where the connection has ended.
func (c *session) write(lines ...string) bool {
	_, err := c.connection.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err == nil
}

// readyLine ends each answer.
func (c *session) readyLine() string {
	position := linehistory.Position{}
	c.instance.service.withLock(func() { position = c.instance.appliedPosition() })
	return "READY " + c.state() + " " + formatPosition(position)
}

// formatPosition writes a position as on the wire; "-" is before all entries.
func formatPosition(position linehistory.Position) string {
	if position == (linehistory.Position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", position.Term, position.Index)
}

// commands are the first words of lines. Their functions return whether the
// connection goes on.
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

// register adds the session to its instance's, or returns the code of an
// error. The arguments are the service, the client and, if given, the instance
// that is meant.
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
	handle, known := statementHandlers[verb]
	if !known || (c.transaction != nil && c.transaction.failed && verb != "ROLLBACK" && verb != "COMMIT") {
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

// fail answers with an error, after which a transaction can only be ended.
func (c *session) fail(code string) bool {
	if c.transaction != nil {
		c.transaction.failed = true
	}
	return c.write("ERROR "+code, c.readyLine())
}

// writeDone answers a statement that has no effect on an instance.
func (c *session) writeDone() bool { return c.write("DONE -", c.readyLine()) }

// refuse answers with an error to a statement that was not run; a commit that
// is refused ends its transaction.
func (c *session) refuse(act, code string) bool {
	if act == linehistory.ActCommit {
		c.transaction = nil
	}
	return c.fail(code)
}
