package web

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam.example/pooler/transport/run"
)

func TestFirstRequestOfEachConnection(t *testing.T) {
	Convey("What a listener made of a connection is seen whole by the poller that reads from it", t, func() {
		const dialers, each = 8, 60
		address := freeAddress(t)
		var served atomic.Int64
		door, err := OpenDoor(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, isWhole := ReadBody(r)
			if isWhole && string(body) == "asked" && r.RemoteAddr != "" {
				served.Add(1)
			}
			_, _ = w.Write([]byte("told"))
		}), nil)
		So(err, ShouldBeNil)
		Reset(door.Close)
		crew := run.NewCrew()
		client, err := NewClient("127.0.0.1", crew)
		So(err, ShouldBeNil)
		Reset(client.Close)
		var answered atomic.Int64
		var all sync.WaitGroup
		for range dialers {
			all.Add(1)
			crew.Go(func() {
				defer all.Done()
				for range each {
					session, err := client.Dial(address, 10*time.Second, nil)
					if err != nil {
						continue
					}
					if answer := session.Ask("/", []byte("asked"), 10*time.Second); answer.Err == nil && string(answer.Body) == "told" {
						answered.Add(1)
					}
					session.Close()
				}
			})
		}
		all.Wait()
		So(answered.Load(), ShouldEqual, dialers*each)
		So(served.Load(), ShouldEqual, dialers*each)
	})
}
