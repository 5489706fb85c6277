package rpc

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/transport/worker"
)

func freePort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func TestLinks(t *testing.T) {
	message.Register()
	Convey("Given two hubs", t, func() {
		crew, counts := worker.NewCrew(), &worker.Counters{}
		near, far := freePort(), freePort()
		answering := New("far", far, crew, counts, func(from string, body any, answer func(any)) {
			answer(idempotency.Answer{Standing: from + " asked " + body.(idempotency.Ask).Go})
		})
		asking := New("near", near, crew, &worker.Counters{}, func(_ string, _ any, answer func(any)) { answer(idempotency.Answer{}) })
		So(answering.Listen(), ShouldBeNil)
		So(asking.Listen(), ShouldBeNil)
		Reset(func() {
			crew.Stop(5 * time.Second)
			answering.Close()
			asking.Close()
		})
		// The engine below never ends if it is stopped before its listener runs.
		for hub, address := range map[*Hub]string{answering: near, asking: far} {
			_, err := hub.Call(address, idempotency.Ask{Go: "first"}, time.Minute)
			So(err, ShouldBeNil)
		}
		ask := func() string {
			reply, err := asking.Call(far, idempotency.Ask{Go: "x"}, 5*time.Second)
			So(err, ShouldBeNil)
			return reply.(idempotency.Answer).Standing
		}
		Convey("A call is answered, and a call to nobody fails without waiting out its bound", func() {
			So(ask(), ShouldEqual, "near asked x")
			began := time.Now()
			_, err := asking.Call(freePort(), idempotency.Ask{}, time.Minute)
			So(err, ShouldNotBeNil)
			So(time.Since(began), ShouldBeLessThan, 30*time.Second)
		})
		Convey("Garbage, oversized, wrong-version and changed frames close their own link, are counted, and harm nothing else", func() {
			good, err := pack(Envelope{From: "evil", ID: 1, Body: idempotency.Ask{Go: "x"}})
			So(err, ShouldBeNil)
			frame := func(change func([]byte)) []byte {
				data := append([]byte(nil), good...)
				change(data)
				return data
			}
			bad := map[string][]byte{
				"link_refused_garbage":   []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
				"link_refused_version":   frame(func(data []byte) { data[3] = 99 }),
				"link_refused_oversized": frame(func(data []byte) { binary.BigEndian.PutUint32(data[4:], 1<<30) }),
				"link_refused_checksum":  frame(func(data []byte) { data[len(data)-1] ^= 1 }),
			}
			for count, data := range bad {
				conn, err := net.Dial("tcp", far)
				So(err, ShouldBeNil)
				_, err = conn.Write(data)
				So(err, ShouldBeNil)
				So(conn.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
				_, err = conn.Read(make([]byte, 1))
				So(err, ShouldNotBeNil)
				_ = conn.Close()
				So(counts.Read()[count], ShouldEqual, 1)
			}
			So(ask(), ShouldEqual, "near asked x")
		})
		Convey("A message that only a newer build knows is passed over, and the link lives on", func() {
			strange, err := pack(Envelope{From: "newer", ID: 1, Body: idempotency.Ask{Go: "y"}})
			So(err, ShouldBeNil)
			changed := bytes.ReplaceAll(strange, []byte("goes.Ask"), []byte("goes.Nex"))
			So(changed, ShouldNotResemble, strange)
			binary.BigEndian.PutUint32(changed[8:], crc32.ChecksumIEEE(changed[headSize:]))
			known, err := pack(Envelope{From: "newer", ID: 2, Body: idempotency.Ask{Go: "z"}})
			So(err, ShouldBeNil)
			conn, err := net.Dial("tcp", far)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(append(changed, known...))
			So(err, ShouldBeNil)
			So(conn.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
			count, err := conn.Read(make([]byte, 4096))
			So(err, ShouldBeNil)
			So(count, ShouldBeGreaterThan, headSize)
			So(counts.Read()["link_unknown_message"], ShouldEqual, 1)
		})
		Convey("A frame of the version after ours is still read", func() {
			next, err := pack(Envelope{From: "newer", ID: 1, Body: idempotency.Ask{Go: "y"}})
			So(err, ShouldBeNil)
			next[3] = Version + 1
			conn, err := net.Dial("tcp", far)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(next)
			So(err, ShouldBeNil)
			So(conn.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
			count, err := conn.Read(make([]byte, 4096))
			So(err, ShouldBeNil)
			So(count, ShouldBeGreaterThan, headSize)
		})
	})
}
