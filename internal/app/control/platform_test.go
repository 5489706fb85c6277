package control

import (
	"testing"
	"time"

	"github.com/juju/errors"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/protocol/adapter"
)

func TestPromoteCallNotSent(t *testing.T) {
	Convey("A promote call to an address where nothing listens is reported as not sent", t, func() {
		h := newHarness(t, t.TempDir())
		cfg := h.node.Config()
		cfg.PlatformAddress = "127.0.0.1:1"
		_, err := NewPromoter(h.node, func(adapter.Promotion) adapter.Request { return adapter.Request{Method: "POST", Path: "/"} })(cfg, adapter.Promotion{})
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		h.err = errors.WithType(errors.New("refused"), ErrNotSent)
		h.promoteSync(syncrepl.Promote{Database: "db", Instance: "i-1", LeaseHolder: "c1", FencingToken: 4})
		<-h.promotions
		h.node.Workers.Stop(5 * time.Second)
		h.mutex.Lock()
		defer h.mutex.Unlock()
		calls := h.observer.Augment(syncrepl.Evidence{Database: "db"}, h.node.Now()).PromoteCalls
		So(len(calls), ShouldEqual, 1)
		So(calls[0].Unsent, ShouldBeTrue)
		So(calls[0].FencingToken, ShouldEqual, 4)
	})
}
