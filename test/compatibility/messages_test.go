// Package compatibility holds the messages and stored records of this build
// against those of earlier builds, which share a fleet with it and left their files.
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

// writeGolden makes golden files anew. It is for new kinds of message or record
// only: the files of released ones never change.
var writeGolden = flag.Bool("write-golden", false, "write the golden files that are missing")

const messageFolder = "testdata/messages"

// goldenPath gives the golden file of a kind of message, by the name under which it is sent.
func goldenPath(name string) string {
	return filepath.Join(messageFolder, strings.ReplaceAll(name, "/", "_")+".gob")
}

func envelopeOf(body any) rpc.Envelope {
	return rpc.Envelope{From: "node-a", Version: 2, ID: 77, IsReply: true, Body: body}
}

func TestMessagesOfEarlierBuildsAreRead(t *testing.T) {
	message.Register()
	Convey("Each message, encoded by 6cad5d2 with no field zero, is read with every field", t, func() {
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
	Convey("No message of an earlier build has gone", t, func() {
		files, err := filepath.Glob(messageFolder + "/*.gob")
		So(err, ShouldBeNil)
		So(len(files), ShouldEqual, len(message.All()))
	})
}
