package message

import (
	"os"
	"reflect"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEveryMessageHasARule(t *testing.T) {
	Convey("Each message between processes has a row in the table of docs/design/messages.md that describes the handling of repeated copies", t, func() {
		page, err := os.ReadFile("../../../docs/design/messages.md")
		So(err, ShouldBeNil)
		var rows []string
		for _, line := range strings.Split(string(page), "\n") {
			if strings.HasPrefix(line, "| `") {
				rows = append(rows, line)
			}
		}
		for _, body := range All() {
			name := reflect.TypeOf(body).Name()
			found := false
			for _, row := range rows {
				found = found || strings.Contains(row, "."+name+"`") || strings.Contains(row, "`"+name+"`")
			}
			SoMsg(reflect.TypeOf(body).String(), found, ShouldBeTrue)
		}
		So(len(All()), ShouldBeGreaterThan, 40)
	})
}
