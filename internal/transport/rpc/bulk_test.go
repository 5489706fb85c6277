package rpc

import (
	"fmt"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/worker"
	"tansyseam/test/reserve"
)

func TestConnectionsKeepBuffersOfLargestUpdate(t *testing.T) {
	message.Register()
	Convey("A large update leaves no large buffer at its connection, and smaller messages before and after it are read", t, func() {
		const smallBuffer = 16 << 10
		snapshot := &model.Snapshot{Sets: []model.BindingSet{{Sequence: 1}}}
		for number := range 5000 {
			snapshot.Sets[0].Bindings = append(snapshot.Sets[0].Bindings, model.Binding{Name: fmt.Sprint("binding-", number), Database: "db"})
		}
		workers := worker.NewGroup()
		address, clientAddress := reserve.Loopback(t), reserve.Loopback(t)
		server := NewHub("server", address, workers, &worker.Counters{}, func(_ string, body any, reply func(any)) {
			update := distribution.Update{Tenure: body.(distribution.UpdateRequest).RequestNumber}
			if update.Tenure%2 == 0 {
				update.Snapshot = snapshot
			}
			reply(update)
		})
		client := NewHub("client", clientAddress, workers, &worker.Counters{}, func(_ string, _ any, reply func(any)) { reply(distribution.Update{}) })
		So(server.Listen(), ShouldBeNil)
		So(client.Listen(), ShouldBeNil)
		Reset(func() {
			workers.Stop(5 * time.Second)
			server.Close()
			client.Close()
		})
		// The engine of nbio never stops if it is stopped before its listener runs.
		_, err := server.Call(clientAddress, distribution.UpdateRequest{}, time.Minute)
		So(err, ShouldBeNil)
		for number := range uint64(6) {
			reply, err := client.Call(address, distribution.UpdateRequest{RequestNumber: number}, time.Minute)
			So(err, ShouldBeNil)
			update := reply.(distribution.Update)
			So(update.Tenure, ShouldEqual, number)
			So(update.Snapshot != nil, ShouldEqual, number%2 == 0)
			if update.Snapshot != nil {
				So(update.Snapshot.Sets, ShouldResemble, snapshot.Sets)
			}
		}
		server.queues.Range(func(conn, _ any) bool {
			connected, ok := server.peerOf(conn.(*nbio.Conn))
			So(ok, ShouldBeTrue)
			connected.mutex.Lock()
			defer connected.mutex.Unlock()
			So(connected.outBuffer.Cap(), ShouldBeLessThan, smallBuffer)
			return true
		})
		So(eventually(func() bool { return server.QueuedBytesTo("client") == 0 }), ShouldBeTrue)
	})
}
