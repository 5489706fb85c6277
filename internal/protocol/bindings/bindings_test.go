package bindings

import (
	"testing"
	"time"

	"github.com/valyala/fastjson"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

func databaseExists(name string) bool { return name == "desks1" }

func TestBindingSets(t *testing.T) {
	route := func(name, extraBackendFields string) string {
		return `{"apiVersion":"gateway.networking.k8s.io/v1alpha2","kind":"TCPRoute","metadata":{"name":"` + name + `","annotations":{"tansyseam.example/freshness-ms":"1500"}},` +
			`"spec":{"rules":[{"backendRefs":[{"name":"desks1"` + extraBackendFields + `}]}]}}`
	}
	read := func(text string) ([]model.Binding, []string) {
		bindings, violations := Parse(fastjson.MustParse(text), databaseExists)
		var paths []string
		for _, violation := range violations {
			paths = append(paths, violation.Path)
		}
		return bindings, paths
	}
	Convey("A set in the product's own form and the same set as routes are parsed to the same bindings", t, func() {
		plain, violations := read(`{"bindings":[{"name":"floor","database":"desks1","freshness_ms":1500}]}`)
		So(violations, ShouldBeEmpty)
		routes, violations := read(`{"routes":[` + route("floor", "") + `]}`)
		So(violations, ShouldBeEmpty)
		So(routes, ShouldResemble, plain)
		So(plain[0].Freshness, ShouldEqual, 1500*time.Millisecond)
	})
	Convey("Unsupported fields are reported by name, together with all other violations", t, func() {
		_, violations := read(`{"routes":[` + route("floor", `,"weight":3`) + `,` + route("floor", "") + `,{"kind":"HTTPRoute","metadata":{"name":"-x","labels":{}},"spec":{"parentRefs":[],"rules":[]}}]}`)
		for _, path := range []string{
			"/routes/0/spec/rules/0/backendRefs/0/weight", "/routes/1/metadata/name", "/routes/2/kind", "/routes/2/metadata/name",
			"/routes/2/metadata/labels", "/routes/2/spec/parentRefs", "/routes/2/spec/rules", "/routes/2",
		} {
			So(violations, ShouldContain, path)
		}
	})
	Convey("Duplicate names, unknown databases and a freshness below the minimum are each reported", t, func() {
		_, violations := read(`{"bindings":[{"name":"a","database":"nowhere","freshness_ms":7},{"name":"a","database":"desks1","freshness_ms":0}]}`)
		So(violations, ShouldResemble, []string{"/bindings/0/database", "/bindings/0/freshness_ms", "/bindings/1/name"})
	})
	Convey("A scheduled time in the past or more than a year ahead is rejected, and any other is accepted", t, func() {
		now := int64(1_800_000_000_000) * int64(time.Millisecond)
		for text, violationCount := range map[string]int{`{"at_ms":1799999999999}`: 1, `{"at_ms":1900000000000}`: 1, `{"at_ms":1800000001000}`: 0} {
			_, violations := ParseScheduledTime(fastjson.MustParse(text), now)
			So(len(violations), ShouldEqual, violationCount)
		}
	})
}
