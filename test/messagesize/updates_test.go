package messagesize

import (
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/audit"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// requestSize measures the first request of a node that itself observes the
// instances.
func requestSize(instances int) int {
	machine := routing.New(proxyNode(1).Name, lease.DefaultTiming())
	for _, instance := range asyncInstances(instances / instancesByDatabase) {
		machine.HandleAnnouncement(instance, time.Hour)
	}
	return encodedSize(machine.UpdateRequest(time.Hour+time.Second, nil))
}

// lineRequestSize measures the first request of a node that serves sessions of the
// line protocol.
func lineRequestSize(databases int) int {
	node := linepool.Node{Name: proxyNode(1).Name, Zone: zoneName(0), Incarnation: 1, Weight: 1}
	machine := linepool.New(node, linepool.DefaultTiming(), lease.DefaultTiming(), func(string, int64) {})
	snapshot := manifestSnapshot(databases)
	machine.ApplyUpdate(distribution.Update{
		FromPrimary: true, Record: consensus.Record{Epoch: 1, Primary: "seamc1"}, LeaseDuration: time.Hour, PrimaryTime: int64(time.Hour),
		Snapshot: &snapshot, ListVersion: distribution.ListVersion{Tenure: "t", Number: 1}, Instances: syncInstances(databases),
	}, time.Hour, time.Hour)
	machine.Effects()
	return encodedSize(machine.UpdateRequest(time.Hour + time.Millisecond))
}

// firstUpdateSize measures the update that answers a node's first request.
func firstUpdateSize(machine *distribution.Machine) int {
	request := distribution.UpdateRequest{Node: proxyNode(1).Name, Kind: model.KindProxy}
	machine.HandleRequest(request, 1, time.Hour)
	replies := machine.Flush(true, distribution.IdleLinks{}, int64(time.Hour), time.Hour)
	So(replies, ShouldHaveLength, 1)
	So(replies[0].Update.Snapshot, ShouldNotBeNil)
	return encodedSize(replies[0].Update)
}

func updateSize(databases int) int { return firstUpdateSize(newPrimary(asyncState(databases))) }

func manifestUpdateSize(databases int) int { return firstUpdateSize(newPrimary(syncState(databases))) }

// instanceListSize measures an update that carries the list of instances.
func instanceListSize(instances int) int {
	machine := newPrimary(syncState(10))
	var observations []distribution.Observation
	for _, instance := range syncInstances(instances / instancesByDatabase) {
		observations = append(observations, distribution.Observation{Instance: instance, ObservedAt: time.Hour})
	}
	machine.UpdateInstances(observations)
	return firstUpdateSize(machine)
}

// stateFileSize measures the file that a control node writes after a change.
func stateFileSize(databases int) int {
	next := asyncState(databases).Clone()
	version := next.Version
	version.Sequence++
	entry := model.AuditEntry{At: 1, Subject: "bindings", Action: "sequence taken", Evidence: "call"}
	next.Apply(version, audit.Puts(next, entry))
	return len(store.Encode(*next))
}
