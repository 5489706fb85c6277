package rpc

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/transport/worker"
	"tansyseam/test/reserve"
)

// encodeFrame returns an envelope in a frame that is a gob stream of its own.
func encodeFrame(envelope Envelope) []byte {
	envelope.Body = message.Encode(envelope.Body)
	var buffer bytes.Buffer
	buffer.Write(make([]byte, headerSize))
	So(gob.NewEncoder(&buffer).Encode(&envelope), ShouldBeNil)
	frame := buffer.Bytes()
	writeHeader(frame, 0)
	return frame
}

// exchange sends bytes to an address and returns how many are sent back.
func exchange(address string, data []byte) (int, error) {
	conn, err := net.Dial("tcp", address)
	So(err, ShouldBeNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(data)
	So(err, ShouldBeNil)
	So(conn.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
	return conn.Read(make([]byte, 4096))
}

func TestHub(t *testing.T) {
	message.Register()
	Convey("Given two hubs", t, func() {
		workers, counters := worker.NewGroup(), &worker.Counters{}
		clientAddress, serverAddress := reserve.Loopback(t), reserve.Loopback(t)
		server := NewHub("far", serverAddress, workers, counters, func(from string, body any, reply func(any)) {
			reply(idempotency.Status{State: from + " asked " + body.(idempotency.StatusRequest).RequestID})
		})
		client := NewHub("near", clientAddress, workers, &worker.Counters{}, func(_ string, _ any, reply func(any)) { reply(idempotency.Status{}) })
		So(server.Listen(), ShouldBeNil)
		So(client.Listen(), ShouldBeNil)
		Reset(func() {
			workers.Stop(5 * time.Second)
			server.Close()
			client.Close()
		})
		// The engine of nbio never ends if it is stopped before its listener runs.
		for hub, address := range map[*Hub]string{server: clientAddress, client: serverAddress} {
			_, err := hub.Call(address, idempotency.StatusRequest{RequestID: "first"}, time.Minute)
			So(err, ShouldBeNil)
		}
		call := func() string {
			reply, err := client.Call(serverAddress, idempotency.StatusRequest{RequestID: "x"}, 5*time.Second)
			So(err, ShouldBeNil)
			return reply.(idempotency.Status).State
		}
		Convey("A call is answered, and a call to an address where nobody listens fails before its time-out", func() {
			So(call(), ShouldEqual, "near asked x")
			started := time.Now()
			_, err := client.Call(reserve.Loopback(t), idempotency.StatusRequest{}, time.Minute)
			So(errors.Is(err, ErrUnreachable), ShouldBeTrue)
			So(time.Since(started), ShouldBeLessThan, 30*time.Second)
		})
		Convey("Malformed, oversized and corrupted frames and those of another version close their own connection, are counted, and affect no other", func() {
			good := encodeFrame(Envelope{From: "evil", ID: 1, Body: idempotency.StatusRequest{RequestID: "x"}})
			corrupt := func(change func([]byte)) []byte {
				data := append([]byte(nil), good...)
				change(data)
				return data
			}
			bad := map[string][]byte{
				"link_refused_garbage":   []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
				"link_refused_version":   corrupt(func(data []byte) { data[versionOffset] = 99 }),
				"link_refused_oversized": corrupt(func(data []byte) { binary.BigEndian.PutUint32(data[sizeOffset:], 1<<30) }),
				"link_refused_checksum":  corrupt(func(data []byte) { data[len(data)-1] ^= 1 }),
			}
			for count, data := range bad {
				_, err := exchange(serverAddress, data)
				So(err, ShouldNotBeNil)
				So(counters.Snapshot()[count], ShouldEqual, 1)
			}
			So(call(), ShouldEqual, "near asked x")
		})
		Convey("A message that only a newer build knows is skipped, and the connection stays open", func() {
			unknown := encodeFrame(Envelope{From: "newer", ID: 1, Body: idempotency.StatusRequest{RequestID: "y"}})
			changed := bytes.ReplaceAll(unknown, []byte("goes.Ask"), []byte("goes.Nex"))
			So(changed, ShouldNotResemble, unknown)
			binary.BigEndian.PutUint32(changed[checksumOffset:], crc32.ChecksumIEEE(changed[headerSize:]))
			known := encodeFrame(Envelope{From: "newer", ID: 2, Body: idempotency.StatusRequest{RequestID: "z"}})
			count, err := exchange(serverAddress, append(changed, known...))
			So(err, ShouldBeNil)
			So(count, ShouldBeGreaterThan, headerSize)
			So(counters.Snapshot()["link_unknown_message"], ShouldEqual, 1)
		})
		Convey("A frame of the next version is still read", func() {
			next := encodeFrame(Envelope{From: "newer", ID: 1, Body: idempotency.StatusRequest{RequestID: "y"}})
			next[versionOffset] = ProtocolVersion + 1
			count, err := exchange(serverAddress, next)
			So(err, ShouldBeNil)
			So(count, ShouldBeGreaterThan, headerSize)
		})
	})
}
