package rpc

import (
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/transport/worker"
	"tansyseam/test/reserve"
)

// eventually waits until a condition holds, and reports whether it did within a minute.
func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); {
		if condition() {
			return true
		}
		<-time.After(time.Millisecond)
	}
	return false
}

func TestQueuedBytes(t *testing.T) {
	message.Register()
	Convey("Bytes that a remote end does not read are counted until they are read or the connection is closed", t, func() {
		workers := worker.NewGroup()
		address := reserve.Loopback(t)
		large := idempotency.Status{State: strings.Repeat("x", 6<<20)}
		hub := NewHub("hub", address, workers, &worker.Counters{}, func(_ string, _ any, reply func(any)) { reply(large) })
		So(hub.Listen(), ShouldBeNil)
		Reset(func() {
			workers.Stop(5 * time.Second)
			hub.Close()
		})
		ask := func() net.Conn {
			conn, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			_, err = conn.Write(encodeFrame(Envelope{From: "slow", ID: 1, Body: idempotency.StatusRequest{RequestID: "x"}}))
			So(err, ShouldBeNil)
			return conn
		}
		reading := ask()
		So(eventually(func() bool { return hub.QueuedBytes() > 0 }), ShouldBeTrue)
		So(hub.MaxQueuedBytes(), ShouldEqual, hub.QueuedBytes())
		buffer := make([]byte, 1<<16)
		So(eventually(func() bool {
			_, err := reading.Read(buffer)
			return err != nil || hub.QueuedBytes() == 0
		}), ShouldBeTrue)
		So(reading.Close(), ShouldBeNil)
		closing := ask()
		So(eventually(func() bool { return hub.QueuedBytes() > 0 }), ShouldBeTrue)
		So(closing.Close(), ShouldBeNil)
		So(eventually(func() bool { return hub.QueuedBytes() == 0 }), ShouldBeTrue)
	})
}
