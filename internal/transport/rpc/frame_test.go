package rpc

import (
	"bytes"
	"testing"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestFrames(t *testing.T) {
	newFrame := func(payload string, flag uint32) []byte {
		data := append(make([]byte, headerSize), payload...)
		writeHeader(data, flag)
		return data
	}
	Convey("A frame consists of magic bytes, version, flag and size, checksum and payload", t, func() {
		So(newFrame("ab", streamFlag), ShouldResemble, []byte{'s', 'm', 'L', 2, 0x80, 0, 0, 2, 0x9e, 0x83, 0x48, 0x6d, 'a', 'b'})
	})
	Convey("Frames are parsed one by one, and an incomplete frame is left in the data", t, func() {
		data := bytes.Join([][]byte{newFrame("one", streamFlag), newFrame("", 0), newFrame("three", 0)}, nil)
		first, data, err := parseFrame(data)
		So(err, ShouldBeNil)
		So(first, ShouldResemble, frame{payload: []byte("one"), streamed: true})
		second, data, err := parseFrame(data)
		So(err, ShouldBeNil)
		So(second.streamed, ShouldBeFalse)
		So(second.payload, ShouldBeEmpty)
		for size := range data {
			_, rest, err := parseFrame(data[:size])
			So(errors.Is(err, errIncomplete), ShouldBeTrue)
			So(rest, ShouldResemble, data[:size])
		}
		third, data, err := parseFrame(data)
		So(err, ShouldBeNil)
		So(string(third.payload), ShouldEqual, "three")
		So(data, ShouldBeEmpty)
	})
}
