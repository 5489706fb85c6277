package rpc

import (
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/transport/worker"
)

func TestListenFails(t *testing.T) {
	Convey("Listen returns an error of type ErrListen if the address is in use", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { _ = listener.Close() })
		workers := worker.NewGroup()
		Reset(func() { workers.Stop(5 * time.Second) })
		hub := NewHub("a", listener.Addr().String(), workers, &worker.Counters{}, nil)
		So(errors.Is(hub.Listen(), ErrListen), ShouldBeTrue)
	})
}
