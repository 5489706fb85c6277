package simulation

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestHistoriesStay compares histories with those that were recorded. A change
// that is meant to alter decisions records them anew with
// `go run ./test/cmd/simulate -digests` and says so; a refactoring may not.
func TestHistoriesStay(t *testing.T) {
	Convey("The history of each recorded seed is the same to the byte", t, func() {
		file, err := os.ReadFile("testdata/digests.txt")
		So(err, ShouldBeNil)
		rows := strings.Split(strings.TrimSpace(string(file)), "\n")
		So(len(rows), ShouldBeGreaterThanOrEqualTo, 16)
		digests := make([]string, len(rows))
		var group sync.WaitGroup
		for index, row := range rows {
			fields := strings.Fields(row)
			So(len(fields), ShouldEqual, 4)
			digest, err := DigestOf(fields[0], fields[1])
			So(err, ShouldBeNil)
			seed, err := strconv.ParseUint(fields[2], 10, 64)
			So(err, ShouldBeNil)
			group.Add(1)
			go func() {
				defer group.Done()
				digests[index] = digest(seed)
			}()
		}
		group.Wait()
		for index, row := range rows {
			SoMsg(row, digests[index], ShouldEqual, strings.Fields(row)[3])
		}
	})
}
