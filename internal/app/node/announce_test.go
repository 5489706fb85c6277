package node

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fastjson"

	"tansyseam/internal/app/config"
	"tansyseam/internal/state/model"
)

func newIdleNode() *Node {
	node, err := New(model.KindProxy, config.Config{Name: "d1", AdvertiseHTTPAddress: "10.0.0.1:80"}, hclog.NewNullLogger())
	So(err, ShouldBeNil)
	return node
}

func announceBody(node *Node, body string) (int, string) {
	value, err := fastjson.Parse(body)
	So(err, ShouldBeNil)
	status, answer := node.onAnnounce(value, nil, nil)
	encoded, err := json.Marshal(answer)
	So(err, ShouldBeNil)
	return status, string(encoded)
}

func TestAnnouncementAnswers(t *testing.T) {
	const synced = `{"instance":"i-1","database":"db","role":"primary","birth":"b","synced":true,"calls":1}`
	Convey("The answer to an announcement contains the addresses of the nodes", t, func() {
		node := newIdleNode()
		status, answer := announceBody(node, `{"instance":"i-1","database":"db","role":"primary","birth":"b","term":2,"position":{"term":2,"index":5},"connections":3,"slots":9}`)
		So(status, ShouldEqual, http.StatusOK)
		So(answer, ShouldEqual, `{"nodes":["10.0.0.1:80"]}`)
		announced, found := node.Instance("i-1")
		So(found, ShouldBeTrue)
		So(announced.Instance, ShouldResemble, model.Instance{
			Name: "i-1", Database: "db", Role: "primary", Incarnation: "b", Term: 2, Position: model.Position{Term: 2, Index: 5}, Connections: 3, Slots: 9,
		})
	})
	Convey("An announcement that names another database than the instance's earlier one is refused", t, func() {
		node := newIdleNode()
		So(node.RecordAnnouncement(model.Instance{Name: "i-1", Database: "other"}), ShouldBeTrue)
		status, answer := announceBody(node, `{"instance":"i-1","database":"db"}`)
		So(status, ShouldEqual, http.StatusConflict)
		So(answer, ShouldEqual, `{"error":"instance i-1 belongs to another database","faults":[]}`)
		So(node.Counters.Snapshot()["announcements_foreign"], ShouldEqual, 1)
	})
	Convey("The answer to an instance with synchronous replication contains the address for the next announcement, or the delay of a retry if no control primary accepted it", t, func() {
		node := newIdleNode()
		status, answer := announceBody(node, synced)
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(answer, ShouldEqual, `{"error":"no control primary took the announcement","faults":[],"outcome":"unknown","retry_after_ms":500}`)
		node.OnSyncedAnnouncement(func(model.Instance) (string, bool) { return "10.0.0.2:80", true })
		status, answer = announceBody(node, synced)
		So(status, ShouldEqual, http.StatusOK)
		So(answer, ShouldEqual, `{"door":"10.0.0.2:80","nodes":[]}`)
		So(node.Instances(time.Minute), ShouldBeEmpty)
	})
	Convey("The answer to the counters call contains the counters and the node's name", t, func() {
		node := newIdleNode()
		node.Counters.Add("announcements", 2)
		status, answer := node.onCounters(nil, nil, nil)
		encoded, err := json.Marshal(answer)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		So(string(encoded), ShouldEqual, `{"counters":{"announcements":2},"node":"d1"}`)
	})
}

func TestInstanceTable(t *testing.T) {
	synced := func(number uint64) model.Instance {
		return model.Instance{Name: "i-1", Database: "db", Role: model.RoleReplica, SyncReplication: true, AnnouncementNumber: number}
	}
	Convey("Given a table with an instance that has announced itself with a number", t, func() {
		table := newInstanceTable()
		_, changed, result := table.record(synced(4), time.Minute)
		So(result, ShouldEqual, announcementRecorded)
		So(changed, ShouldBeTrue)
		Convey("An announcement with the same number is stale until announcementNumberLifetime has passed; later it is recorded, since the instance may have restarted", func() {
			_, _, result = table.record(synced(4), time.Minute+announcementNumberLifetime-1)
			So(result, ShouldEqual, announcementStale)
			_, changed, result = table.record(synced(4), time.Minute+announcementNumberLifetime)
			So(result, ShouldEqual, announcementRecorded)
			So(changed, ShouldBeFalse)
		})
		Convey("A stop announcement marks the recorded instance as stopped and leaving; for an unknown instance it is not recorded", func() {
			stopped, changed, result := table.record(model.Instance{Name: "i-1", Stopped: true, SyncReplication: true}, time.Minute)
			So(result, ShouldEqual, announcementRecorded)
			So(changed, ShouldBeTrue)
			expected := synced(4)
			expected.Stopped, expected.Leaving = true, true
			So(stopped, ShouldResemble, expected)
			_, _, result = table.record(model.Instance{Name: "i-9", Stopped: true}, time.Minute)
			So(result, ShouldEqual, announcementUnknown)
		})
		// Guards against statements that reach an instance after it has left, because
		// heartbeats from before the leave arrive late (review/7).
		Convey("After a stop announcement, any announcement of the instance is stale until the entry expires, whatever its number", func() {
			stop := model.Instance{Name: "i-1", Stopped: true, SyncReplication: true}
			table.record(stop, time.Minute)
			for _, number := range []uint64{3, 4, 5, 6, 7, 100} {
				for _, delay := range []time.Duration{0, announcementNumberLifetime, 2 * announcementNumberLifetime, instanceLifetime} {
					_, _, result := table.record(synced(number), time.Minute+delay)
					So(result, ShouldEqual, announcementStale)
					So(table.byName["i-1"].Instance.Stopped, ShouldBeTrue)
				}
			}
			_, _, result := table.record(stop, time.Minute+time.Second)
			SoMsg("the stop announcement may be repeated", result, ShouldEqual, announcementRecorded)
			_, _, result = table.record(synced(1), time.Minute+time.Second+instanceLifetime+1)
			So(result, ShouldEqual, announcementRecorded)
			So(table.byName["i-1"].Instance.Stopped, ShouldBeFalse)
		})
		Convey("An instance whose last announcement has expired is removed when another instance announces itself", func() {
			other := model.Instance{Name: "i-2", Database: "db2"}
			table.record(other, time.Minute+instanceLifetime)
			So(table.byName, ShouldContainKey, "i-1")
			table.record(other, time.Minute+instanceLifetime+sweepInterval+1)
			So(table.byName, ShouldNotContainKey, "i-1")
			So(table.byDatabase, ShouldNotContainKey, "db")
		})
	})
}
