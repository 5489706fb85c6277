package schema

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAnnouncements(t *testing.T) {
	book, err := Open()
	if err != nil {
		t.Fatal(err)
	}
	isGood := func(body string) bool {
		_, faults := book.Request("/v1/announce", []byte(body))
		return len(faults) == 0
	}
	const head = `{"instance":"i-1","database":"db","address":"10.0.0.1:80","zone":"z","role":"replica","leaving":false`
	const rest = `,"birth":"x","term":1,"position":{"term":1,"index":2},"connections":5,"slots":5`
	Convey("A synced instance tells its calls, and need not tell birth, term and position; any other must", t, func() {
		So(isGood(head+rest+`}`), ShouldBeTrue)
		So(isGood(head+`}`), ShouldBeFalse)
		So(isGood(head+`,"synced":false,"calls":1}`), ShouldBeFalse)
		So(isGood(head+`,"synced":true,"calls":4,"slots":7}`), ShouldBeTrue)
		So(isGood(head+`,"synced":true,"calls":4,"gone":true}`), ShouldBeTrue)
		So(isGood(head+`,"synced":true}`), ShouldBeFalse)
	})
	Convey("The answer may name a door", t, func() {
		So(book.Answer("/v1/announce", []byte(`{"nodes":[],"door":"10.0.0.1:81"}`), false), ShouldBeEmpty)
		So(book.Answer("/v1/announce", []byte(`{"nodes":[]}`), false), ShouldBeEmpty)
	})
}
