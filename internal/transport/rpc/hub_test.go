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

func TestHub(t *testing.T) {
	message.Register()
	Convey("Given two hubs", t, func() {
		workers, counters := worker.NewGroup(), &worker.Counters{}
		clientAddress, serverAddress := freePort(), freePort()
		server := NewHub("far", serverAddress, workers, counters, func(from string, body any, answer func(any)) {
			answer(idempotency.Status{State: from + " asked " + body.(idempotency.StatusRequest).RequestID})
		})
		client := NewHub("near", clientAddress, workers, &worker.Counters{}, func(_ string, _ any, answer func(any)) { answer(idempotency.Status{}) })
		So(server.Listen(), ShouldBeNil)
		So(client.Listen(), ShouldBeNil)
		Reset(func() {
			workers.Stop(5 * time.Second)
			server.Close()
			client.Close()
		})
		// The engine below never ends if it is stopped before its listener runs.
		for hub, address := range map[*Hub]string{server: clientAddress, client: serverAddress} {
			_, err := hub.Call(address, idempotency.StatusRequest{RequestID: "first"}, time.Minute)
			So(err, ShouldBeNil)
		}
		ask := func() string {
			reply, err := client.Call(serverAddress, idempotency.StatusRequest{RequestID: "x"}, 5*time.Second)
			So(err, ShouldBeNil)
			return reply.(idempotency.Status).State
		}
		Convey("A call is answered, and a call to nobody fails without waiting out its bound", func() {
			So(ask(), ShouldEqual, "near asked x")
			started := time.Now()
			_, err := client.Call(freePort(), idempotency.StatusRequest{}, time.Minute)
			So(err, ShouldNotBeNil)
			So(time.Since(started), ShouldBeLessThan, 30*time.Second)
		})
		Convey("Garbage, oversized, wrong-version and changed frames close their own link, are counted, and harm nothing else", func() {
			good, err := encodeFrame(Envelope{From: "evil", ID: 1, Body: idempotency.StatusRequest{RequestID: "x"}})
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
				conn, err := net.Dial("tcp", serverAddress)
				So(err, ShouldBeNil)
				_, err = conn.Write(data)
				So(err, ShouldBeNil)
				So(conn.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
				_, err = conn.Read(make([]byte, 1))
				So(err, ShouldNotBeNil)
				_ = conn.Close()
				So(counters.Snapshot()[count], ShouldEqual, 1)
			}
			So(ask(), ShouldEqual, "near asked x")
		})
		Convey("A message that only a newer build knows is passed over, and the link lives on", func() {
			unknown, err := encodeFrame(Envelope{From: "newer", ID: 1, Body: idempotency.StatusRequest{RequestID: "y"}})
			So(err, ShouldBeNil)
			changed := bytes.ReplaceAll(unknown, []byte("goes.Ask"), []byte("goes.Nex"))
			So(changed, ShouldNotResemble, unknown)
			binary.BigEndian.PutUint32(changed[8:], crc32.ChecksumIEEE(changed[headerSize:]))
			known, err := encodeFrame(Envelope{From: "newer", ID: 2, Body: idempotency.StatusRequest{RequestID: "z"}})
			So(err, ShouldBeNil)
			conn, err := net.Dial("tcp", serverAddress)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(append(changed, known...))
			So(err, ShouldBeNil)
			So(conn.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
			count, err := conn.Read(make([]byte, 4096))
			So(err, ShouldBeNil)
			So(count, ShouldBeGreaterThan, headerSize)
			So(counters.Snapshot()["link_unknown_message"], ShouldEqual, 1)
		})
		Convey("A frame of the version after ours is still read", func() {
			next, err := encodeFrame(Envelope{From: "newer", ID: 1, Body: idempotency.StatusRequest{RequestID: "y"}})
			So(err, ShouldBeNil)
			next[3] = ProtocolVersion + 1
			conn, err := net.Dial("tcp", serverAddress)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(next)
			So(err, ShouldBeNil)
			So(conn.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
			count, err := conn.Read(make([]byte, 4096))
			So(err, ShouldBeNil)
			So(count, ShouldBeGreaterThan, headerSize)
		})
	})
}
