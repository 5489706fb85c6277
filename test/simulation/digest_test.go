package simulation

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// digestsPerKind returns the number of recorded seeds of each kind of fleet that
// the test runs. More seeds are recorded; the simulate command can run them all.
func digestsPerKind() uint64 {
	if isRace {
		return 4
	}
	return 20
}

// TestHistoriesStay compares the digests of histories with recorded digests. A
// change that is meant to alter decisions records the digests again with
// `go run ./test/cmd/simulate -digests`, and its description says so. A
// refactoring must not change a digest.
func TestHistoriesStay(t *testing.T) {
	Convey("The history of each recorded seed is the same, byte for byte", t, func() {
		file, err := os.ReadFile("testdata/digests.txt")
		So(err, ShouldBeNil)
		var rows []string
		for _, row := range strings.Split(strings.TrimSpace(string(file)), "\n") {
			seed, err := strconv.ParseUint(strings.Fields(row)[2], 10, 64)
			So(err, ShouldBeNil)
			if seed <= digestsPerKind() {
				rows = append(rows, row)
			}
		}
		So(len(rows), ShouldEqual, 4*digestsPerKind())
		digests := make([]string, len(rows))
		var group sync.WaitGroup
		slots := make(chan struct{}, runtime.NumCPU())
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
				slots <- struct{}{}
				digests[index] = digest(seed)
				<-slots
			}()
		}
		group.Wait()
		for index, row := range rows {
			SoMsg(row, digests[index], ShouldEqual, strings.Fields(row)[3])
		}
	})
}
