package schema

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestValidation(t *testing.T) {
	validator, err := NewValidator()
	if err != nil {
		t.Fatal(err)
	}
	reasonsByPath := func(path, body string) map[string]string {
		_, violations := validator.ValidateRequest(path, []byte(body))
		found := map[string]string{}
		for _, violation := range violations {
			found[violation.Path] = violation.Reason
		}
		return found
	}
	Convey("All violations of a body are reported together, each with its JSON path", t, func() {
		found := reasonsByPath("/v1/bindings/put", `{"id":"bad id","expected":-1,"extra":1,"bindings":[{"name":"","database":7,"freshness_ms":1.5},{}]}`)
		for _, path := range []string{"/id", "/expected", "/bindings/0/name", "/bindings/0/database", "/bindings/0/freshness_ms", "/bindings/1", ""} {
			SoMsg(path, found, ShouldContainKey, path)
		}
	})
	Convey("A duplicate key is rejected at any depth", t, func() {
		found := reasonsByPath("/v1/bindings/put", `{"id":"a","expected":0,"expected":1,"bindings":[{"name":"b","name":"c","database":"d","freshness_ms":0}]}`)
		So(found["/expected"], ShouldContainSubstring, "twice")
		So(found["/bindings/0/name"], ShouldContainSubstring, "twice")
	})
	Convey("Malformed bodies, unknown calls and wrong types are rejected; an empty body is treated as an empty object", t, func() {
		for _, body := range []string{`{"id":`, `[]`, `"x"`, `null`, `{} trailing`, strings.Repeat("[", 5000)} {
			So(reasonsByPath("/v1/bindings/put", body), ShouldNotBeEmpty)
		}
		So(reasonsByPath("/v1/nowhere", `{}`), ShouldNotBeEmpty)
		So(reasonsByPath("/v1/fleet", ""), ShouldBeEmpty)
	})
	Convey("A write without a request id is rejected, and so is a statement with both a text and a prepared name", t, func() {
		So(reasonsByPath("/v1/statement", `{"session":"s","kind":"write","text":"x"}`), ShouldNotBeEmpty)
		So(reasonsByPath("/v1/statement", `{"session":"s","kind":"read","text":"x","prepared":"p"}`), ShouldNotBeEmpty)
		So(reasonsByPath("/v1/statement", `{"session":"s","kind":"write","text":"x","go":"s.1"}`), ShouldBeEmpty)
	})
	Convey("A text with escape sequences is decoded without loss", t, func() {
		value, violations := validator.ValidateRequest("/v1/statement", []byte(`{"session":"s","kind":"read","text":"a\u00e9\"\\\n\u2028 b"}`))
		So(violations, ShouldBeEmpty)
		So(string(value.GetStringBytes("text")), ShouldEqual, "aé\"\\\n\u2028 b")
	})
	Convey("Answers and refusals are validated against their shapes", t, func() {
		So(validator.ValidateAnswer("/v1/ready", []byte(`{"ready":true,"why":""}`), false), ShouldBeEmpty)
		So(validator.ValidateAnswer("/v1/ready", []byte(`{"ready":"yes"}`), false), ShouldNotBeEmpty)
		So(validator.ValidateAnswer("/v1/ready", []byte(`{"error":"x","faults":[{"path":"/a","reason":"b"}]}`), true), ShouldBeEmpty)
	})
}
