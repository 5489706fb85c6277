package platformstandin

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"

	"tansyseam/test/linehistory"
)

// session is one connection at an instance.
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
	term             uint64
	ids              []string
	values           map[string]string
}

func (c *session) state() string {
	if c.transaction == nil {
		return "I"
	}
	return map[bool]string{true: "E", false: "T"}[c.transaction.failed]
}

func (c *session) serve() {
	reader := bufio.NewReaderSize(c.connection, 64<<10)
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
		code, tail, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		act, known := commands[code]
		if !known || (!c.connected && code != "CONNECT") {
			c.write("ERROR MALFORMED")
			return
		}
		if !act(c, tail) {
			return
		}
	}
}

func (c *session) write(lines ...string) bool {
	_, err := c.connection.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err == nil
}

func (c *session) readyLine() string {
	position := linehistory.Position{}
	c.instance.service.withLock(func() { position = c.instance.appliedPosition() })
	return "READY " + c.state() + " " + formatPosition(position)
}

func formatPosition(position linehistory.Position) string {
	if position == (linehistory.Position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", position.Term, position.Index)
}

var commands = map[string]func(c *session, tail string) bool{
	"CONNECT": func(c *session, tail string) bool {
		parts := strings.Fields(tail)
		i, s, code := c.instance, c.instance.service, ""
		s.withLock(func() {
			wrong := len(parts) < 2 || parts[0] != s.Name || (len(parts) > 2 && parts[2] != i.ID)
			if wrong {
				code = "WRONGHOST " + i.ID
				return
			}
			if len(i.sessions) >= s.MaxConnections {
				code = "FULL"
				return
			}
			i.connectionCount++
			c.name = fmt.Sprintf("%d.%d", i.incarnation, i.connectionCount)
			i.sessions[c] = true
		})
		if code != "" {
			c.write("ERROR " + code)
			return false
		}
		c.connected = true
		return c.write(c.readyLine())
	},
	"BYE": func(*session, string) bool { return false },
	"QUERY": func(c *session, tail string) bool {
		id, text, _ := strings.Cut(tail, " ")
		minPosition := linehistory.Position{}
		if rest, found := strings.CutPrefix(text, "AFTER "); found {
			at, after, _ := strings.Cut(rest, " ")
			term, number, _ := strings.Cut(at, ".")
			minPosition.Term, _ = strconv.ParseUint(term, 10, 64)
			minPosition.Index, _ = strconv.ParseUint(number, 10, 64)
			text = after
		}
		code, rest, _ := strings.Cut(text, " ")
		act, known := statementHandlers[code]
		if !known || (c.transaction != nil && c.transaction.failed && code != "ROLLBACK" && code != "COMMIT") {
			return c.fail("MALFORMED " + code)
		}
		return act(c, &statement{id: id, text: text, rest: rest, minPosition: minPosition})
	},
}

func (c *session) fail(what string) bool {
	if c.transaction != nil {
		c.transaction.failed = true
	}
	return c.write("ERROR "+what, c.readyLine())
}

func (c *session) writeDone() bool { return c.write("DONE -", c.readyLine()) }

func (c *session) refuse(act, code string) bool {
	if act == linehistory.ActCommit {
		c.transaction = nil
	}
	return c.fail(code)
}
