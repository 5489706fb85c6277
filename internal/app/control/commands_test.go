package control

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/worker"
)

// replyMessages maps each line of the test protocol to its message.
var replyMessages = map[string]lineproto.Message{
	"ready":         {Kind: lineproto.KindReady},
	"done":          {Kind: lineproto.KindDone},
	"status":        {Kind: lineproto.KindRow, Payload: "status"},
	"other row":     {Kind: lineproto.KindRow, Payload: "other row"},
	"busy":          {Kind: lineproto.KindError, Code: lineproto.CodeBusy},
	"full":          {Kind: lineproto.KindError, Code: lineproto.CodeTooManyConnections},
	"wrong address": {Kind: lineproto.KindError, Code: lineproto.CodeWrongInstance},
	"failed":        {Kind: lineproto.KindError, Code: lineproto.CodeFailed, Payload: "FAILED no such command"},
}

// primaryReply is the expected reply for the row "status".
var primaryReply = CommandReply{Role: model.RolePrimary, Term: 4, Position: model.Position{Term: 4, Index: 70}}

// testCodec returns a codec whose lines are the keys of replyMessages.
func testCodec() lineproto.Codec {
	return lineproto.Codec{
		Parse: func(line string) lineproto.Message { return replyMessages[line] },
		ParseStatus: func(payload string) (lineproto.Status, bool) {
			if payload != "status" {
				return lineproto.Status{}, false
			}
			return lineproto.Status{Role: primaryReply.Role, Term: primaryReply.Term, Position: primaryReply.Position}, true
		},
		Connect: func(buffer []byte, database, clientName, expectedInstance string) []byte {
			return fmt.Appendf(buffer, "connect %s %s %s\n", database, clientName, expectedInstance)
		},
		Query: func(buffer []byte, id, text string, minPosition model.Position) []byte {
			return fmt.Appendf(buffer, "query %q %s %d.%d\n", id, text, minPosition.Term, minPosition.Index)
		},
		Terminate:    func(buffer []byte) []byte { return append(buffer, "terminate\n"...) },
		AdminCommand: func(command string, term uint64) string { return fmt.Sprintf("%s %d", command, term) },
	}
}

// exchangeCase is a sequence of lines that an instance sends, separated by
// slashes, and the reply that the client parses from them.
type exchangeCase struct {
	name  string
	lines string
	// unfinished is true if the reply is incomplete.
	unfinished bool
	expected   CommandReply
	// noReply is true if the error is ErrNoReply. reason is a text that the error
	// contains.
	noReply bool
	reason  string
}

var exchangeCases = []exchangeCase{
	{name: "a status", lines: "ready/status/done/ready", expected: primaryReply},
	{name: "a status without the final ready", lines: "ready/status/done", unfinished: true},
	{name: "only the response to the connect message", lines: "ready", unfinished: true},
	{name: "an empty line", unfinished: true},
	{name: "invalid lines between valid messages", lines: "nonsense/ready/nonsense/status/ready", expected: primaryReply},
	{name: "no row", lines: "ready/done/ready", noReply: true},
	{name: "a row that is not a status", lines: "ready/other row/done/ready", noReply: true},
	{name: "two rows", lines: "ready/other row/status/ready", expected: primaryReply},
	{name: "busy in response to the connect message", lines: "busy", expected: CommandReply{Busy: true}},
	{name: "too many connections in response to the connect message", lines: "full", expected: CommandReply{Busy: true}},
	{name: "another instance at the address", lines: "wrong address", expected: CommandReply{Gone: true}},
	{name: "a failure in response to the connect message", lines: "failed", noReply: true, reason: "no such command"},
	{name: "busy in response to the command", lines: "ready/busy/ready", expected: CommandReply{Busy: true}},
	{name: "busy in response to the command, without the final ready", lines: "ready/busy", unfinished: true},
	{name: "a failure of the command", lines: "ready/failed/ready", noReply: true, reason: "no such command"},
	{name: "the response to the connect message sent again before the reply", lines: "ready/ready/status/done/ready", expected: primaryReply},
	{name: "the response to the connect message sent again, and nothing else", lines: "ready/ready/ready", unfinished: true},
	{name: "more messages after the reply", lines: "busy/ready/status/ready", expected: CommandReply{Busy: true}},
}

// checkReply checks that a reply is the one that the case expects.
func (c exchangeCase) checkReply(reply CommandReply) {
	So(errors.Is(reply.Err, ErrNoReply), ShouldEqual, c.noReply)
	if c.reason != "" {
		So(reply.Err.Error(), ShouldContainSubstring, c.reason)
	}
	reply.Err = nil
	So(reply, ShouldResemble, c.expected)
}

func linesOf(text string) [][]byte {
	var lines [][]byte
	for _, line := range strings.Split(text, "/") {
		lines = append(lines, []byte(line))
	}
	return lines
}

func TestExchange(t *testing.T) {
	for _, testCase := range exchangeCases {
		Convey("The client parses the reply from the lines that an instance sends: "+testCase.name, t, func() {
			// One OnLines call with all lines and one call per line must have the
			// same result.
			batched, separate := newTestExchange(), newTestExchange()
			batched.OnLines(linesOf(testCase.lines))
			for _, line := range linesOf(testCase.lines) {
				separate.OnLines([][]byte{line})
			}
			for _, pending := range []*exchange{batched, separate} {
				reply, found := worker.TryReceive(pending.replies)
				So(found, ShouldEqual, !testCase.unfinished)
				if found {
					testCase.checkReply(reply)
				}
			}
		})
	}
	Convey("If the connection ends before the reply is complete, the reply is ErrNoReply; if it ends later, the reply is unchanged", t, func() {
		interrupted := newTestExchange()
		interrupted.OnLines(linesOf("ready/status"))
		interrupted.OnClose(errors.New("reset"))
		So(errors.Is((<-interrupted.replies).Err, ErrNoReply), ShouldBeTrue)
		completed := newTestExchange()
		completed.OnLines(linesOf("ready/status/ready"))
		completed.OnClose(nil)
		So(<-completed.replies, ShouldResemble, primaryReply)
		So(completed.replies, ShouldBeEmpty)
	})
}

func newTestExchange() *exchange {
	return &exchange{codec: testCodec(), replies: make(chan CommandReply, 1)}
}

// commandTestTimeout bounds waits. No reply of these tests takes that long.
const commandTestTimeout = 10 * time.Second

// runFakeInstance acts as an instance on one connection: it sends the given lines
// after it has read the connect message and the command, and then reads until
// the connection ends.
func runFakeInstance(listener net.Listener, lines string, received chan<- string) {
	defer close(received)
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(commandTestTimeout))
	scanner := bufio.NewScanner(conn)
	for count := 0; scanner.Scan(); count++ {
		received <- scanner.Text()
		if count == 1 {
			_, _ = conn.Write([]byte(strings.ReplaceAll(lines, "/", "\r\n") + "\r\n"))
		}
	}
}

func TestCommandClient(t *testing.T) {
	workers := worker.NewGroup()
	client := NewCommandClient(workers, testCodec(), "c1")
	if err := client.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { workers.Stop(commandTestTimeout) })
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		return listener
	}
	send := func(address string) CommandReply {
		return client.Send(Command{
			Address: address, Database: "db", Instance: "i-1", Name: lineproto.AdminStepDown, Term: 3, Timeout: commandTestTimeout,
		})
	}
	Convey("The client sends the connect message and the command, reads the reply and ends the session", t, func() {
		listener := listen()
		defer listener.Close()
		received := make(chan string, 10)
		workers.Go(func() { runFakeInstance(listener, "ready/status/ready", received) })
		So(send(listener.Addr().String()), ShouldResemble, primaryReply)
		var lines []string
		for line := range received {
			lines = append(lines, line)
		}
		So(lines, ShouldResemble, []string{"connect db c1 i-1", `query "" step down 3 0.0`, "terminate"})
	})
	Convey("If the connection ends without a reply, or nothing listens at the address, the reply is ErrNoReply", t, func() {
		listener := listen()
		workers.Go(func() {
			if conn, err := listener.Accept(); err == nil {
				_ = conn.Close()
			}
		})
		So(errors.Is(send(listener.Addr().String()).Err, ErrNoReply), ShouldBeTrue)
		So(listener.Close(), ShouldBeNil)
		So(errors.Is(send(listener.Addr().String()).Err, ErrNoReply), ShouldBeTrue)
	})
}
