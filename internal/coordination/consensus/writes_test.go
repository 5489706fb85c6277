package consensus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWritesPileUpWhileBackupIsSilent(t *testing.T) {
	Convey("While the backup does not reply, a bounded number of writes waits, and further ones are rejected at once", t, func() {
		c := newCluster([]string{"c1", "c2", "c3"}, func(string) BootstrapConfig { return BootstrapConfig{ExactVoters: 3, RequireBackup: true} })
		c.run(3 * time.Second)
		primary := c.primary()
		c.up[c.machines[primary].Record().Backup] = false
		const writes = 4 * maxWaitingWrites
		for token := range uint64(writes) {
			c.submit(token + 1)
		}
		So(len(c.machines[primary].writes.waiting), ShouldEqual, maxWaitingWrites)
		So(len(c.results), ShouldEqual, writes-maxWaitingWrites-1)
		for _, result := range c.results {
			So(result.Committed, ShouldBeFalse)
		}
		c.run(6 * time.Second)
		So(c.results[1].Committed, ShouldBeTrue)
		So(c.results[maxWaitingWrites].Committed, ShouldBeTrue)
	})
}
