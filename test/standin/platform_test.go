package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestProbesHaveConnectionsOfTheirOwn(t *testing.T) {
	Convey("A probe opens its own connection and leaves open the connection that another client of the process keeps", t, func() {
		remoteAddresses := make(chan string, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			remoteAddresses <- r.RemoteAddr
			_, _ = w.Write([]byte("{}"))
		}))
		defer server.Close()
		address := server.Listener.Addr().String()
		platform := NewPlatform(t.Context(), nil, map[string]string{address: "za"})
		call := func() string {
			_, err := post(&http.Client{}, address, "/", struct{}{}, nil)
			So(err, ShouldBeNil)
			return <-remoteAddresses
		}
		keptAddress := call()
		platform.probe(address)
		So(<-remoteAddresses, ShouldNotEqual, keptAddress)
		So(platform.ReadyCount(), ShouldEqual, 1)
		So(call(), ShouldEqual, keptAddress)
	})
}
