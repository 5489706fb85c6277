package lineserver

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// receiveInParts returns the lines of data that arrives in two parts, and the bytes that
// are no complete line.
func receiveInParts(data string, division int) (lines []string, rest string) {
	recorder := newRecorder()
	conn := &Conn{server: &Server{}, handler: recorder, maxLineLength: 1000}
	conn.onData([]byte(data[:division]))
	conn.onData([]byte(data[division:]))
	close(recorder.events)
	for line := range recorder.events {
		lines = append(lines, line)
	}
	return lines, string(conn.partial)
}

func TestLineEndsInsideTexts(t *testing.T) {
	// Guards against lines that end at a CR or an LF inside a text (UNASKED, MIXED).
	Convey("A line ends at CR LF only, wherever the data is divided", t, func() {
		texts := []string{
			"one", "", "a\nb", "a\rb", "\n", "\r", "\n\n", "\r\r", "\n\r", "a\r", "\na", "a\n", "\ra", "a\n\rb", "a\r\r\rb",
			"PUT t1 x\nQUERY forged PUT t1 y", "ROW x\nDONE forged", "ROW x\rREADY I -",
		}
		for _, first := range texts {
			for _, second := range texts {
				data := first + "\r\n" + second + "\r\nrest"
				for division := range len(data) + 1 {
					lines, rest := receiveInParts(data, division)
					SoMsg(fmt.Sprintf("%q divided at %d", data, division), lines, ShouldResemble, []string{first, second})
					So(rest, ShouldEqual, "rest")
				}
			}
		}
	})
}
