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
	Convey("The header has its place on the wire", t, func() {
		So(newFrame("ab", streamFlag), ShouldResemble, []byte{'s', 'm', 'L', 2, 0x80, 0, 0, 2, 0x9e, 0x83, 0x48, 0x6d, 'a', 'b'})
	})
	Convey("Frames are cut one by one, and an incomplete one is left", t, func() {
		data := bytes.Join([][]byte{newFrame("one", streamFlag), newFrame("", 0), newFrame("three", 0)}, nil)
		first, data, err := cutFrame(data)
		So(err, ShouldBeNil)
		So(first, ShouldResemble, frame{payload: []byte("one"), streamed: true})
		second, data, err := cutFrame(data)
		So(err, ShouldBeNil)
		So(second.streamed, ShouldBeFalse)
		So(second.payload, ShouldBeEmpty)
		for size := range data {
			_, rest, err := cutFrame(data[:size])
			So(errors.Is(err, errIncomplete), ShouldBeTrue)
			So(rest, ShouldResemble, data[:size])
		}
		third, data, err := cutFrame(data)
		So(err, ShouldBeNil)
		So(string(third.payload), ShouldEqual, "three")
		So(data, ShouldBeEmpty)
	})
}
