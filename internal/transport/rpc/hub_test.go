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

// encodeFrame returns a frame with an envelope as a separate gob stream.
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
		server := NewHub("server", serverAddress, workers, counters, func(from string, body any, reply func(any)) {
			reply(idempotency.Status{State: from + " asked " + body.(idempotency.StatusRequest).RequestID})
		})
		client := NewHub("client", clientAddress, workers, &worker.Counters{}, func(_ string, _ any, reply func(any)) { reply(idempotency.Status{}) })
		So(server.Listen(), ShouldBeNil)
		So(client.Listen(), ShouldBeNil)
		Reset(func() {
			workers.Stop(5 * time.Second)
			server.Close()
			client.Close()
		})
		// Wait until both hubs answer: the engine of nbio never stops if it is stopped
		// before its listener runs.
		for hub, address := range map[*Hub]string{server: clientAddress, client: serverAddress} {
			_, err := hub.Call(address, idempotency.StatusRequest{RequestID: "first"}, time.Minute)
			So(err, ShouldBeNil)
		}
		call := func() string {
			reply, err := client.Call(serverAddress, idempotency.StatusRequest{RequestID: "x"}, 5*time.Second)
			So(err, ShouldBeNil)
			return reply.(idempotency.Status).State
		}
		Convey("A call receives its reply, and a call to an address without a listener fails before its timeout", func() {
			So(call(), ShouldEqual, "client asked x")
			started := time.Now()
			_, err := client.Call(reserve.Loopback(t), idempotency.StatusRequest{}, time.Minute)
			So(errors.Is(err, ErrUnreachable), ShouldBeTrue)
			So(time.Since(started), ShouldBeLessThan, 30*time.Second)
		})
		Convey("Malformed, oversized and corrupted frames and frames of an unsupported version are counted and close only their own connection", func() {
			validFrame := encodeFrame(Envelope{From: "sender", ID: 1, Body: idempotency.StatusRequest{RequestID: "x"}})
			modified := func(change func([]byte)) []byte {
				data := append([]byte(nil), validFrame...)
				change(data)
				return data
			}
			rejectedFrames := map[string][]byte{
				"link_refused_garbage":   []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
				"link_refused_version":   modified(func(data []byte) { data[versionOffset] = 99 }),
				"link_refused_oversized": modified(func(data []byte) { binary.BigEndian.PutUint32(data[sizeOffset:], 1<<30) }),
				"link_refused_checksum":  modified(func(data []byte) { data[len(data)-1] ^= 1 }),
			}
			for counter, data := range rejectedFrames {
				_, err := exchange(serverAddress, data)
				So(err, ShouldNotBeNil)
				So(counters.Snapshot()[counter], ShouldEqual, 1)
			}
			So(call(), ShouldEqual, "client asked x")
		})
		Convey("A message of a type that only a newer build registers is skipped, and the connection stays open", func() {
			knownTypeFrame := encodeFrame(Envelope{From: "newer", ID: 1, Body: idempotency.StatusRequest{RequestID: "y"}})
			unknownTypeFrame := bytes.ReplaceAll(knownTypeFrame, []byte("goes.Ask"), []byte("goes.Nex"))
			So(unknownTypeFrame, ShouldNotResemble, knownTypeFrame)
			binary.BigEndian.PutUint32(unknownTypeFrame[checksumOffset:], crc32.ChecksumIEEE(unknownTypeFrame[headerSize:]))
			nextFrame := encodeFrame(Envelope{From: "newer", ID: 2, Body: idempotency.StatusRequest{RequestID: "z"}})
			count, err := exchange(serverAddress, append(unknownTypeFrame, nextFrame...))
			So(err, ShouldBeNil)
			So(count, ShouldBeGreaterThan, headerSize)
			So(counters.Snapshot()["link_unknown_message"], ShouldEqual, 1)
		})
		Convey("A frame of the next protocol version is accepted", func() {
			nextVersionFrame := encodeFrame(Envelope{From: "newer", ID: 1, Body: idempotency.StatusRequest{RequestID: "y"}})
			nextVersionFrame[versionOffset] = ProtocolVersion + 1
			count, err := exchange(serverAddress, nextVersionFrame)
			So(err, ShouldBeNil)
			So(count, ShouldBeGreaterThan, headerSize)
		})
	})
}
