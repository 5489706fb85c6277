package httpserver

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/reserve"
)

const testTimeout = 30 * time.Second

// response is the result of a request.
type response struct {
	status int
	err    error
}

// get sends a request in the background.
func get(workers *worker.Group, address string) chan response {
	responses := make(chan response, 1)
	workers.Go(func() {
		client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		received, err := client.Get("http://" + address + "/")
		if err != nil {
			responses <- response{err: err}
			return
		}
		_ = received.Body.Close()
		responses <- response{status: received.StatusCode}
	})
	return responses
}

func TestClose(t *testing.T) {
	// Guards against requests that were read and whose connections are closed without a
	// response, because the server is closed while their handlers run.
	Convey("Given a server with a request whose handler runs", t, func() {
		workers := worker.NewGroup()
		started, finish, closed := make(chan bool, 1), make(chan bool, 1), make(chan bool, 1)
		address := reserve.Loopback(t)
		server, err := Listen(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			started <- true
			<-finish
			_, _ = w.Write([]byte("done"))
		}), nil)
		So(err, ShouldBeNil)
		responses := get(workers, address)
		So(worker.Await(started, testTimeout), ShouldBeTrue)
		closeServer := func(timeout time.Duration) {
			server.closeTimeout = timeout
			workers.Go(func() {
				server.Close()
				closed <- true
			})
		}
		receive := func() response {
			received, ok := worker.ReceiveWithin(workers, responses, testTimeout)
			So(ok, ShouldBeTrue)
			return received
		}
		Convey("Close waits for the handler, and the response arrives; a request that arrives meanwhile is rejected", func() {
			closeServer(testTimeout)
			for !server.closing.Load() {
				worker.Await(closed, time.Millisecond)
			}
			late, ok := worker.ReceiveWithin(workers, get(workers, address), testTimeout)
			So(ok, ShouldBeTrue)
			So(late, ShouldResemble, response{status: http.StatusServiceUnavailable})
			finish <- true
			So(receive(), ShouldResemble, response{status: http.StatusOK})
			So(worker.Await(closed, testTimeout), ShouldBeTrue)
		})
		Convey("Close closes the connection if the handler does not end in time", func() {
			closeServer(time.Millisecond)
			So(worker.Await(closed, testTimeout), ShouldBeTrue)
			finish <- true
			So(receive().err, ShouldNotBeNil)
		})
		So(workers.Stop(testTimeout), ShouldBeTrue)
	})
}
