package lineproxy

import (
	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
)

// messageEncoders holds, by kind of message, the function that appends an encoded
// message to a client to a buffer.
var messageEncoders = map[lineproto.Kind]func(lineproto.Codec, []byte, lineproto.Message) []byte{
	lineproto.KindReady: func(codec lineproto.Codec, buffer []byte, message lineproto.Message) []byte {
		return codec.Ready(buffer, message.State, message.Position)
	},
	lineproto.KindRow: func(codec lineproto.Codec, buffer []byte, message lineproto.Message) []byte {
		return codec.Row(buffer, message.Payload)
	},
	lineproto.KindDone: func(codec lineproto.Codec, buffer []byte, message lineproto.Message) []byte {
		return codec.Done(buffer, message.Payload)
	},
	lineproto.KindError: encodeError,
}

// encodeError forwards an instance's error unchanged. The node's own errors have no
// payload and are encoded from their code and text.
func encodeError(codec lineproto.Codec, buffer []byte, message lineproto.Message) []byte {
	if message.Payload != "" {
		return codec.RawError(buffer, message.Payload)
	}
	return codec.Error(buffer, message.Code, message.Text)
}

// commandTexts holds, by kind of command, the function that returns the statement
// text of a command to an instance.
var commandTexts = map[linepool.CommandKind]func(lineproto.Codec, linepool.Command) string{
	linepool.CommandText:          func(_ lineproto.Codec, command linepool.Command) string { return command.Text },
	linepool.CommandBegin:         func(codec lineproto.Codec, _ linepool.Command) string { return codec.Begin(false) },
	linepool.CommandBeginReadOnly: func(codec lineproto.Codec, _ linepool.Command) string { return codec.Begin(true) },
	linepool.CommandRollback:      func(codec lineproto.Codec, _ linepool.Command) string { return codec.Rollback() },
	linepool.CommandReset:         func(codec lineproto.Codec, _ linepool.Command) string { return codec.Reset() },
	linepool.CommandSet: func(codec lineproto.Codec, command linepool.Command) string {
		return codec.Set(command.Name, command.Value)
	},
	linepool.CommandPrepare: func(codec lineproto.Codec, command linepool.Command) string {
		return codec.Prepare(command.Name, command.Value)
	},
	linepool.CommandExecute: func(codec lineproto.Codec, command linepool.Command) string {
		return codec.Execute(command.Name, command.Value)
	},
}
