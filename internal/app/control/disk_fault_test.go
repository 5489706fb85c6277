package control

import (
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/versionfile"
)

type faultyDisk struct {
	versionfile.Directory
	failing  bool
	failures int
}

func (d *faultyDisk) Write(name string, data []byte) error {
	if d.failing {
		d.failures++
		return errors.New("no space left on device")
	}
	return d.Directory.Write(name, data)
}

func newServerOnFaultyDisk(t *testing.T) (*Server, *faultyDisk) {
	cfg := testConfig(t.TempDir())
	node, err := node.New(model.KindControl, cfg, hclog.NewNullLogger())
	So(err, ShouldBeNil)
	disk := &faultyDisk{Directory: versionfile.Directory(cfg.DataDir)}
	server, err := OpenOn(node, cfg, disk, nil)
	So(err, ShouldBeNil)
	return server, disk
}

func (s *Server) replaceManifestAsync(version int) *message.OperatorCallResult {
	result := &message.OperatorCallResult{}
	call := message.OperatorCall{Path: admin.PathReplaceManifest, Body: []byte(manifestOf(version, 1000))}
	s.onOperatorCall(call, func(reply any) { *result = reply.(message.OperatorCallResult) })
	return result
}

func TestFailingDiskWrites(t *testing.T) {
	Convey("A write that fails on disk is not acknowledged and the node keeps running; once the disk works again, the write is acknowledged", t, func() {
		s, disk := newServerOnFaultyDisk(t)
		s.runPending()
		So(s.isPrimary(), ShouldBeTrue)
		disk.failing = true
		result := s.replaceManifestAsync(7)
		s.runPending()
		So(disk.failures, ShouldEqual, 1)
		So(result.Status, ShouldEqual, 0)
		So(s.node.Counters.Snapshot()["files_refused"], ShouldEqual, 1)
		disk.failing = false
		s.startDiskWrite(s.node.Now() + consensus.SyncRetryDelay)
		s.runPending()
		So(result.Status, ShouldEqual, http.StatusOK)
		reopened, err := OpenOn(s.node, s.node.Config(), disk, nil)
		So(err, ShouldBeNil)
		So(reopened.consensus.ReplicaTable().Version, ShouldResemble, s.consensus.ReplicaTable().Version)
	})
}

func TestHangingDiskWrite(t *testing.T) {
	Convey("While a sync is in flight, the write that waits for it is not acknowledged; after a second the node is no longer primary and rejects writes; once the sync ends, the first write is acknowledged", t, func() {
		s, _ := newServerOnFaultyDisk(t)
		s.runPending()
		var writes []func()
		s.runOnDisk = func(write func()) { writes = append(writes, write) }
		first := s.replaceManifestAsync(7)
		s.runPending()
		So(len(writes), ShouldEqual, 1)
		So(first.Status, ShouldEqual, 0)
		So(s.isPrimary(), ShouldBeTrue)
		So(s.gate.SyncPending(s.node.Now()), ShouldBeGreaterThan, 0)
		pending := s.gate.SyncPending(s.node.Now() + time.Second)
		now := s.node.Now() + time.Second
		s.consensus.Step(consensus.Tick{WallNanos: 1, SyncPending: pending}, now)
		So(s.consensus.IsPrimary(now), ShouldBeFalse)
		rejected := s.consensus.Step(consensus.Submit{Token: 99}, now)
		So(rejected, ShouldResemble, []consensus.Effect{consensus.SubmitResult{Token: 99}})
		writes[0]()
		s.runPending()
		So(first.Status, ShouldEqual, http.StatusOK)
	})
}
