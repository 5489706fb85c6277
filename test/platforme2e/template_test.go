package platforme2e

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFill(t *testing.T) {
	fields := map[string]any{
		"node_name": "n", "zone": "z", "ip": "127.0.0.1", "internal_ports": []any{7440, 7455}, "data_path": "/d", "bootstrap": true,
		"listen": map[string]any{"admin": "127.0.0.1:1", "readiness": "127.0.0.1:2", "sessions": "127.0.0.1:3"}, "survive": map[string]any{"machines": 1}, "bounds": map[string]any{"fence_checked": true},
		"cloud_api": map[string]any{"address": "127.0.0.1:4"}, "seed_nodes": []any{"127.0.0.1:5"},
	}
	Convey("Placeholders are replaced by the values at their paths, as plain text or as JSON", t, func() {
		text, err := FillTemplate(`{{ip}}:{{internal_ports.1}} {{ip|json}} {{seed_nodes|json}} {{bootstrap}}`, fields)
		So(err, ShouldBeNil)
		So(text, ShouldEqual, `127.0.0.1:7455 "127.0.0.1" ["127.0.0.1:5"] true`)
	})
	Convey("A section is kept if its value is present and not false and removed otherwise, and a section without an end is an error", t, func() {
		text, err := FillTemplate(`a{{#bounds.fence_checked}}b{{ip}}{{/bounds.fence_checked}}c{{#bounds.other}}d{{other}}{{/bounds.other}}e`, fields)
		So(err, ShouldBeNil)
		So(text, ShouldEqual, "ab127.0.0.1ce")
		_, err = FillTemplate("{{#bounds.fence_checked}}x", fields)
		So(err, ShouldNotBeNil)
	})
	Convey("A placeholder without a field is an error", t, func() {
		for _, text := range []string{"{{other}}", "{{listen.other}}", "{{seed_nodes.1}}", "{{ip.a}}"} {
			_, err := FillTemplate(text, fields)
			So(err, ShouldNotBeNil)
		}
	})
	Convey("The project's own templates are filled to valid JSON, with optional settings only if the bounds are given", t, func() {
		for _, bounds := range []map[string]any{{}, {"fence_checked": false}, {"fence_checked": true, "apply_ms": 3000, "grace_s": 6, "drain_ms": 7000}} {
			fields["bounds"] = bounds
			for _, name := range []string{"tansyseam-proxy", "tansyseam-control"} {
				data, err := os.ReadFile(filepath.Join("..", "..", "deploy", name+".json.tmpl"))
				So(err, ShouldBeNil)
				text, err := FillTemplate(string(data), fields)
				So(err, ShouldBeNil)
				So(json.Valid([]byte(text)), ShouldBeTrue)
				So(strings.Contains(text, "grace_s") || strings.Contains(text, "in_force_ms"), ShouldEqual, len(bounds) == 4)
			}
		}
	})
}
