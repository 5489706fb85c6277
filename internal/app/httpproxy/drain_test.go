package httpproxy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// shutdownBound is the time within which a proxy ends after SIGTERM, as
// docs/operators.md states it.
const shutdownBound = 6 * time.Second

func TestShutdownBound(t *testing.T) {
	// Guards against a proxy that is killed before it has handed over its records,
	// because the steps of its shutdown take longer than operators wait.
	Convey("The steps of a shutdown end within the time that operators are told", t, func() {
		So(drainTimeout+handoverTimeout+lingerTimeout, ShouldBeLessThan, shutdownBound)
	})
}
