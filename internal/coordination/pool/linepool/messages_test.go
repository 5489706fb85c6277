package linepool

import (
	"fmt"
	"strings"

	"tansyseam/internal/state/lineproto"
)

// lastStamp is the number of the last stamp in all tests.
var lastStamp int

// done returns the result of a statement. Instances give each answer a stamp of its own,
// so done appends a number to a payload that is a stamp. Formatted messages do not
// contain the number.
func done(payload string) lineproto.Message {
	if payload == lineproto.NoStamp {
		return lineproto.Message{Kind: lineproto.KindDone, Payload: payload}
	}
	lastStamp++
	return lineproto.Message{Kind: lineproto.KindDone, Payload: fmt.Sprintf("%s#%d", payload, lastStamp)}
}

func formatDone(message lineproto.Message) string {
	stamp, _, _ := strings.Cut(message.Payload, "#")
	return "DONE " + stamp
}

func row(payload string) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindRow, Payload: payload}
}

func failure(code lineproto.Code) lineproto.Message {
	return lineproto.Message{Kind: lineproto.KindError, Code: code, Payload: codeNames[code] + " detail"}
}

// codeNames maps the codes to their names in formatted messages.
var codeNames = map[lineproto.Code]string{
	lineproto.CodeOther: "OTHER", lineproto.CodeBusy: "BUSY", lineproto.CodeAborted: "ABORTED", lineproto.CodeLagging: "LAGGING",
	lineproto.CodeReadOnly: "READONLY", lineproto.CodeWrongInstance: "WRONGHOST", lineproto.CodeTooManyConnections: "FULL", lineproto.CodeUnknownOutcome: "UNKNOWN",
	lineproto.CodeTimeout: "TIMEOUT", lineproto.CodeFailed: "FAILED", lineproto.CodeNotFound: "NOTFOUND", lineproto.CodeUnknownDatabase: "NODB",
	lineproto.CodeTooMuchInput: "TOOLONG", lineproto.CodeMalformed: "MALFORMED",
}

// noEffectCodeNames are the names of the codes that guarantee that nothing was
// applied.
var noEffectCodeNames = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "FULL"}

var messageFormats = map[lineproto.Kind]func(lineproto.Message) string{
	lineproto.KindRow:   func(message lineproto.Message) string { return "ROW " + message.Payload },
	lineproto.KindDone:  formatDone,
	lineproto.KindError: func(message lineproto.Message) string { return "ERROR " + codeNames[message.Code] },
	lineproto.KindReady: func(message lineproto.Message) string { return "READY " + string(message.State) },
}

func formatMessage(message lineproto.Message) string { return messageFormats[message.Kind](message) }

var commandFormats = map[CommandKind]func(Command) string{
	CommandText:          func(command Command) string { return command.Text },
	CommandBegin:         func(Command) string { return "begin" },
	CommandBeginReadOnly: func(Command) string { return "begin read" },
	CommandRollback:      func(Command) string { return "rollback" },
	CommandReset:         func(Command) string { return "reset" },
	CommandSet:           func(command Command) string { return "set " + command.Name + "=" + command.Value },
	CommandPrepare:       func(command Command) string { return "prepare " + command.Name + " as " + command.Value },
	CommandExecute:       func(command Command) string { return "run " + command.Name + command.Value },
}

func formatCommands(send Send) string {
	var texts []string
	for _, command := range send.Commands {
		texts = append(texts, commandFormats[command.Kind](command))
	}
	return strings.Join(texts, ", ")
}
