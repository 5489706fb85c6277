package lineproxy

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
	"tansyseam/platform"
)

func TestMessageEncoders(t *testing.T) {
	codec := platform.Codec()
	roundTrip := func(message lineproto.Message) lineproto.Message {
		line := string(messageEncoders[message.Kind](codec, nil, message))
		return codec.Parse(strings.TrimRight(line, "\r\n"))
	}
	Convey("An encoded message to a client parses to the same message", t, func() {
		for _, message := range []lineproto.Message{
			{Kind: lineproto.KindReady, State: lineproto.StateInTransaction, Position: model.Position{Term: 3, Index: 41}},
			{Kind: lineproto.KindRow, Payload: "a b"},
			{Kind: lineproto.KindDone, Payload: "s1"},
		} {
			So(roundTrip(message), ShouldResemble, message)
		}
	})
	Convey("An instance's error is forwarded unchanged, and the node's own error is encoded from its code and text", t, func() {
		instanceError := lineproto.Message{Kind: lineproto.KindError, Code: lineproto.CodeFailed, Payload: "FAILED as it came"}
		So(roundTrip(instanceError), ShouldResemble, instanceError)
		nodeError := roundTrip(lineproto.Message{Kind: lineproto.KindError, Code: lineproto.CodeBusy, Text: "come back in 200 ms"})
		So(nodeError.Code, ShouldEqual, lineproto.CodeBusy)
		So(nodeError.Payload, ShouldEndWith, "come back in 200 ms")
	})
}

func TestCommandTexts(t *testing.T) {
	codec := platform.Codec()
	Convey("The text of a command to an instance parses to the corresponding statement", t, func() {
		commands := []struct {
			command   linepool.Command
			statement lineproto.Statement
		}{
			{linepool.Command{Kind: linepool.CommandText, Text: "FETCH k1"}, lineproto.Statement{Action: lineproto.ActionRead}},
			{linepool.Command{Kind: linepool.CommandBegin}, lineproto.Statement{Action: lineproto.ActionBegin}},
			{linepool.Command{Kind: linepool.CommandBeginReadOnly}, lineproto.Statement{Action: lineproto.ActionBeginReadOnly}},
			{linepool.Command{Kind: linepool.CommandRollback}, lineproto.Statement{Action: lineproto.ActionRollback}},
			{
				linepool.Command{Kind: linepool.CommandSet, Name: "v", Value: "1"},
				lineproto.Statement{Action: lineproto.ActionSet, Name: "v", Value: "1"},
			},
			{
				linepool.Command{Kind: linepool.CommandPrepare, Name: "p1", Value: "PUT q"},
				lineproto.Statement{Action: lineproto.ActionPrepare, Name: "p1", PreparedText: "PUT q", Write: true},
			},
			{
				linepool.Command{Kind: linepool.CommandExecute, Name: "p1", Value: " k1"},
				lineproto.Statement{Action: lineproto.ActionExecute, Name: "p1", Arguments: " k1"},
			},
		}
		for _, test := range commands {
			text := commandTexts[test.command.Kind](codec, test.command)
			So(codec.ParseStatement(text), ShouldResemble, test.statement)
		}
	})
	Convey("The text of a reset is not empty and is not a valid statement for clients", t, func() {
		text := commandTexts[linepool.CommandReset](codec, linepool.Command{Kind: linepool.CommandReset})
		So(text, ShouldNotBeBlank)
		So(codec.ParseStatement(text).Action, ShouldEqual, lineproto.ActionInvalid)
	})
}
