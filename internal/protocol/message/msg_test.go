package message

import (
	"os"
	"reflect"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEveryMessageHasARule(t *testing.T) {
	Convey("Each message between the programs stands in the table of what may be repeated", t, func() {
		page, err := os.ReadFile("../../../docs/design/messages.md")
		So(err, ShouldBeNil)
		var rows []string
		for _, line := range strings.Split(string(page), "\n") {
			if strings.HasPrefix(line, "| `") {
				rows = append(rows, line)
			}
		}
		for _, body := range Bodies() {
			name := reflect.TypeOf(body).Name()
			isThere := false
			for _, row := range rows {
				isThere = isThere || strings.Contains(row, "."+name+"`") || strings.Contains(row, "`"+name+"`")
			}
			SoMsg(reflect.TypeOf(body).String(), isThere, ShouldBeTrue)
		}
		So(len(Bodies()), ShouldBeGreaterThan, 40)
	})
}
