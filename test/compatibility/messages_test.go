// Package compatibility compares the messages and stored records of this build with
// those of earlier builds. Nodes of earlier builds exchange messages with this build
// in the same fleet, and this build reads the files that earlier builds wrote.
package compatibility

import (
	"bytes"
	"encoding/gob"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/protocol/message"
	"tansyseam/internal/transport/rpc"
)

// writeGolden is true if missing golden files are to be written. It is for new kinds of
// messages or records only, because the files of released kinds must never change.
var writeGolden = flag.Bool("write-golden", false, "write the golden files that are missing")

const messageFolder = "testdata/messages"

// goldenPath returns the path of the golden file of a kind of message. name is the name
// under which the message is sent.
func goldenPath(name string) string {
	return filepath.Join(messageFolder, strings.ReplaceAll(name, "/", "_")+".gob")
}

func envelopeOf(body any) rpc.Envelope {
	return rpc.Envelope{From: "node-a", Version: 2, ID: 77, IsReply: true, Body: body}
}

func TestMessagesOfEarlierBuildsAreRead(t *testing.T) {
	message.Register()
	Convey("Each message that 6cad5d2 encoded with non-zero fields is decoded with all fields", t, func() {
		names := message.Names()
		for i, body := range message.All() {
			path := goldenPath(names[i])
			if _, err := os.Stat(path); err != nil && *writeGolden {
				var buffer bytes.Buffer
				envelope := envelopeOf(message.Encode(filled(body)))
				So(gob.NewEncoder(&buffer).Encode(&envelope), ShouldBeNil)
				So(os.MkdirAll(messageFolder, 0o755), ShouldBeNil)
				So(os.WriteFile(path, buffer.Bytes(), 0o644), ShouldBeNil)
			}
			data, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			var envelope rpc.Envelope
			So(gob.NewDecoder(bytes.NewReader(data)).Decode(&envelope), ShouldBeNil)
			envelope.Body = message.Decode(envelope.Body)
			SoMsg(path, envelope, ShouldResemble, envelopeOf(filled(body)))
		}
	})
	Convey("Each message that this build encodes with non-zero fields is decoded with all fields, those added after 6cad5d2 too", t, func() {
		for _, body := range message.All() {
			var buffer bytes.Buffer
			sent := filledCompletely(body)
			envelope := envelopeOf(message.Encode(sent))
			So(gob.NewEncoder(&buffer).Encode(&envelope), ShouldBeNil)
			var received rpc.Envelope
			So(gob.NewDecoder(&buffer).Decode(&received), ShouldBeNil)
			So(message.Decode(received.Body), ShouldResemble, sent)
		}
	})
	Convey("Each message has a golden file, and no message of an earlier build was removed", t, func() {
		files, err := filepath.Glob(messageFolder + "/*.gob")
		So(err, ShouldBeNil)
		So(len(files), ShouldEqual, len(message.All()))
	})
}
