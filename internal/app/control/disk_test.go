package control

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/versionfile"
)

type troubled struct {
	versionfile.Folder
	isRefusing bool
	refused    int
}

func (d *troubled) Write(name string, data []byte) error {
	if d.isRefusing {
		d.refused++
		return errors.New("no space left on device")
	}
	return d.Folder.Write(name, data)
}

func newTroubled(t *testing.T) (*Control, *troubled) {
	place := config.Settings{Name: "c1", Zone: "z", Link: "127.0.0.1:1", Door: "127.0.0.1:2", AdvertiseDoor: "127.0.0.1:2", Disks: 1, Data: t.TempDir(), Manner: "platform", InForce: 3 * time.Second}
	node, err := node.New("seamc", place, hclog.NewNullLogger())
	So(err, ShouldBeNil)
	disk := &troubled{Folder: versionfile.Folder(place.Data)}
	made, err := OpenOn(node, place, disk, nil)
	So(err, ShouldBeNil)
	return made, disk
}

func (c *Control) drain() {
	for range 3 {
		c.beat()
		for len(c.queue) > 0 {
			(<-c.queue)()
		}
	}
}

func (c *Control) replace(version int) *message.Operated {
	answered := &message.Operated{}
	c.onOperate(message.Operate{Path: "/v1/manifest/replace", Body: []byte(manifestOf(version, 1000))}, func(answer any) { *answered = answer.(message.Operated) })
	return answered
}

func TestDiskThatRefuses(t *testing.T) {
	Convey("A write that the disk refuses is not acknowledged and ends nothing; once the disk takes it, it is", t, func() {
		c, disk := newTroubled(t)
		c.drain()
		So(c.isPrimary(), ShouldBeTrue)
		disk.isRefusing = true
		answered := c.replace(7)
		c.drain()
		So(disk.refused, ShouldEqual, 1)
		So(answered.Status, ShouldEqual, 0)
		So(c.node.Counts.Read()["files_refused"], ShouldEqual, 1)
		disk.isRefusing = false
		c.keep(c.node.Now() + consensus.Pause)
		c.drain()
		So(answered.Status, ShouldEqual, http.StatusOK)
		again, err := OpenOn(c.node, c.node.Place(), disk, nil)
		So(err, ShouldBeNil)
		So(again.machine.Copy().Stamp, ShouldResemble, c.machine.Copy().Stamp)
	})
}

func TestDiskThatHangs(t *testing.T) {
	Convey("While a sync is under way, the loop goes on hearing and answering what rests on no file, and nothing else", t, func() {
		c, _ := newTroubled(t)
		c.drain()
		var work []func()
		c.disk = func(one func()) { work = append(work, one) }
		first := c.replace(7)
		c.drain()
		So(len(work), ShouldEqual, 1)
		So(first.Status, ShouldEqual, 0)
		So(c.isPrimary(), ShouldBeTrue)
		So(c.gate.Owed(c.node.Now()), ShouldBeGreaterThan, 0)
		owed := c.gate.Owed(c.node.Now() + time.Second)
		now := c.node.Now() + time.Second
		c.machine.Step(consensus.Tick{Wall: 1, Owed: owed}, now)
		So(c.machine.IsPrimary(now), ShouldBeFalse)
		refused := c.machine.Step(consensus.Submit{Token: 99}, now)
		So(refused, ShouldResemble, []consensus.Effect{consensus.Answer{Token: 99}})
		work[0]()
		c.drain()
		So(first.Status, ShouldEqual, http.StatusOK)
	})
}
