package control

import (
	"encoding/base64"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestManifestCalls(t *testing.T) {
	Convey("A manifest replaces the stored one if its version is higher, is rejected if it is invalid, and is returned as it was sent, also after a restart", t, func() {
		dataDir := t.TempDir()
		h := newHarness(t, dataDir)
		status, _ := h.operate("/v1/manifest/fetch", "")
		So(status, ShouldEqual, http.StatusNotFound)
		status, answer := h.operate("/v1/manifest/replace", manifestOf(7, 1000))
		So(status, ShouldEqual, http.StatusOK)
		So(answer.GetInt("version"), ShouldEqual, 7)
		status, _ = h.operate("/v1/manifest/replace", manifestOf(6, 1000))
		So(status, ShouldEqual, http.StatusOK)
		status, answer = h.operate("/v1/manifest/replace", manifestOf(8, 0))
		So(status, ShouldEqual, http.StatusBadRequest)
		So(string(answer.GetStringBytes("faults", "0", "path")), ShouldEqual, "/bindings/0/timeout_ms")
		for range 2 {
			status, _ = h.operate("/v1/manifest/replace", manifestOf(7, 1000))
			So(status, ShouldEqual, http.StatusOK)
			status, _ = h.operate("/v1/manifest/replace", manifestOf(6, 2000))
			So(status, ShouldEqual, http.StatusOK)
			status, _ = h.operate("/v1/manifest/replace", strings.ReplaceAll(manifestOf(7, 1000), rawManifestBody(7), rawManifestBody(70)))
			So(status, ShouldEqual, http.StatusConflict)
		}
		status, _ = h.operate("/v1/manifest/replace", `{"version":`)
		So(status, ShouldEqual, http.StatusBadRequest)
		for _, server := range []*harness{h, newHarness(t, dataDir)} {
			status, answer = server.operate("/v1/manifest/fetch", "")
			So(status, ShouldEqual, http.StatusOK)
			So(answer.GetInt("version"), ShouldEqual, 7)
			raw, _ := base64.StdEncoding.DecodeString(string(answer.GetStringBytes("raw")))
			So(string(raw), ShouldEqual, "as sent 7")
		}
	})
}
