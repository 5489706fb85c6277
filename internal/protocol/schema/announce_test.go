package schema

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAnnouncements(t *testing.T) {
	validator, err := NewValidator()
	if err != nil {
		t.Fatal(err)
	}
	accepted := func(body string) bool {
		_, violations := validator.ValidateRequest("/v1/announce", []byte(body))
		return len(violations) == 0
	}
	const commonFields = `{"instance":"i-1","database":"db","address":"10.0.0.1:80","zone":"z","role":"replica","leaving":false`
	const asyncFields = `,"birth":"x","term":1,"position":{"term":1,"index":2},"connections":5,"slots":5`
	Convey("An announcement with synchronous replication must have an announcement number and may omit birth, term and position; any other announcement must have these three", t, func() {
		So(accepted(commonFields+asyncFields+`}`), ShouldBeTrue)
		So(accepted(commonFields+`}`), ShouldBeFalse)
		So(accepted(commonFields+`,"synced":false,"calls":1}`), ShouldBeFalse)
		So(accepted(commonFields+`,"synced":true,"calls":4,"slots":7}`), ShouldBeTrue)
		So(accepted(commonFields+`,"synced":true,"calls":4,"gone":true}`), ShouldBeTrue)
		So(accepted(commonFields+`,"synced":true}`), ShouldBeFalse)
	})
	Convey("The answer to an announcement is valid with and without an HTTP address", t, func() {
		So(validator.ValidateAnswer("/v1/announce", []byte(`{"nodes":[],"door":"10.0.0.1:81"}`), false), ShouldBeEmpty)
		So(validator.ValidateAnswer("/v1/announce", []byte(`{"nodes":[]}`), false), ShouldBeEmpty)
	})
}
