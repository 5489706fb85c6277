package node

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/state/model"
)

const (
	// instanceLifetime is how long an instance is kept after its last
	// announcement.
	instanceLifetime = 5 * time.Minute
	// sweepInterval is the minimum time between two removals of expired instances.
	sweepInterval = 10 * time.Second
	// announcementNumberLifetime is how long after an announcement another one
	// without a higher number is stale. The number expires because a restarted
	// instance starts again with low numbers.
	announcementNumberLifetime = 5 * time.Second
)

// AnnouncedInstance is an instance with the time of its last announcement, by
// the node's monotonic clock.
type AnnouncedInstance struct {
	Instance    model.Instance
	AnnouncedAt time.Duration
}

// isStale reports whether an announcement is not newer than the recorded one of the
// same instance. Only instances with synchronous replication number their
// announcements; announcements of other instances are never stale.
//
// A stop announcement has no number and is final. Announcements that were sent before it
// may arrive after it, with any number, so all announcements but another stop are stale
// until the entry expires.
func (a AnnouncedInstance) isStale(instance model.Instance, now time.Duration) bool {
	if !instance.SyncReplication || instance.Stopped {
		return false
	}
	age := now - a.AnnouncedAt
	if a.Instance.Stopped {
		return age <= instanceLifetime
	}
	return instance.AnnouncementNumber <= a.Instance.AnnouncementNumber && age < announcementNumberLifetime
}

// announcementResult is the result of recording an announcement.
type announcementResult int

const (
	// announcementUnknown is the result for an instance that has stopped and is not in
	// the table.
	announcementUnknown announcementResult = iota
	// announcementConflicting is the result for an instance that announced another
	// database before.
	announcementConflicting
	// announcementStale is the result for an announcement that is not newer than the
	// recorded one (see isStale).
	announcementStale
	// announcementRecorded is the result for an announcement that was put into the
	// table.
	announcementRecorded
)

// instanceTable holds the last announcement of each instance.
type instanceTable struct {
	byName     map[string]*AnnouncedInstance
	byDatabase map[string]map[string]*AnnouncedInstance
	lastSweep  time.Duration
}

func newInstanceTable() instanceTable {
	return instanceTable{byName: map[string]*AnnouncedInstance{}, byDatabase: map[string]map[string]*AnnouncedInstance{}}
}

// record puts an announcement into the table. It returns the recorded instance and
// whether the instance is new or its state changed, which is worth logging.
func (t *instanceTable) record(instance model.Instance, now time.Duration) (recorded model.Instance, changed bool, result announcementResult) {
	previous, found := t.byName[instance.Name]
	if instance.Stopped && instance.Database == "" {
		if !found {
			return instance, false, announcementUnknown
		}
		instance = markStopped(previous.Instance)
	}
	if found && instance.ConflictsWith(previous.Instance) {
		return instance, false, announcementConflicting
	}
	if found && previous.isStale(instance, now) {
		return instance, false, announcementStale
	}
	t.put(&AnnouncedInstance{Instance: instance, AnnouncedAt: now})
	if now > t.lastSweep+sweepInterval {
		t.lastSweep = now
		t.sweep(now)
	}
	return instance, !found || stateChanged(previous.Instance, instance), announcementRecorded
}

// markStopped returns the entry of an instance after an announcement that says only
// that the instance has stopped.
func markStopped(previous model.Instance) model.Instance {
	stopped := previous
	stopped.Stopped, stopped.Leaving = true, true
	return stopped
}

func stateChanged(previous, instance model.Instance) bool {
	return previous.Role != instance.Role || previous.Incarnation != instance.Incarnation ||
		previous.Leaving != instance.Leaving || previous.Stopped != instance.Stopped
}

func (t *instanceTable) put(announced *AnnouncedInstance) {
	instance := announced.Instance
	t.byName[instance.Name] = announced
	if t.byDatabase[instance.Database] == nil {
		t.byDatabase[instance.Database] = map[string]*AnnouncedInstance{}
	}
	t.byDatabase[instance.Database][instance.Name] = announced
}

// sweep removes the expired instances.
func (t *instanceTable) sweep(now time.Duration) {
	expired := func(_ string, announced *AnnouncedInstance) bool { return now-announced.AnnouncedAt > instanceLifetime }
	maps.DeleteFunc(t.byName, expired)
	for database, instances := range t.byDatabase {
		maps.DeleteFunc(instances, expired)
		if len(instances) == 0 {
			delete(t.byDatabase, database)
		}
	}
}

// recentInstances returns the instances whose last announcement is not older
// than maxAge, sorted by name.
func recentInstances(instances map[string]*AnnouncedInstance, now, maxAge time.Duration) []AnnouncedInstance {
	var recent []AnnouncedInstance
	for _, announced := range instances {
		if now-announced.AnnouncedAt <= maxAge {
			recent = append(recent, *announced)
		}
	}
	slices.SortFunc(recent, func(a, b AnnouncedInstance) int { return strings.Compare(a.Instance.Name, b.Instance.Name) })
	return recent
}

// Instances returns the instances that announced themselves within maxAge,
// sorted by name.
func (n *Node) Instances(maxAge time.Duration) []AnnouncedInstance {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return recentInstances(n.instances.byName, n.Now(), maxAge)
}

// DatabaseInstances returns the instances of one database that announced
// themselves within maxAge, sorted by name.
func (n *Node) DatabaseInstances(database string, maxAge time.Duration) []AnnouncedInstance {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return recentInstances(n.instances.byDatabase[database], n.Now(), maxAge)
}

// Instance returns an instance as in its last recorded announcement, or false if
// the instance is not in the table.
func (n *Node) Instance(name string) (AnnouncedInstance, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	announced, found := n.instances.byName[name]
	if !found {
		return AnnouncedInstance{}, false
	}
	return *announced, true
}

// RecordAnnouncement records an instance's announcement. It returns false if the
// instance announced another database before. A stale announcement changes nothing
// and is not an error.
func (n *Node) RecordAnnouncement(instance model.Instance) bool {
	n.mutex.Lock()
	recorded, changed, result := n.instances.record(instance, n.Now())
	n.mutex.Unlock()
	if result != announcementRecorded {
		n.countUnrecorded(result)
		return result != announcementConflicting
	}
	if changed {
		n.Log.Info("instance changed", "instance", recorded.Name, "role", recorded.Role, "term", recorded.Term,
			"leaving", recorded.Leaving, "stopped", recorded.Stopped)
	}
	n.Counters.Add("announcements", 1)
	if n.onInstance != nil {
		n.onInstance(recorded)
	}
	return true
}

func (n *Node) countUnrecorded(result announcementResult) {
	if result == announcementConflicting {
		n.Counters.Add("announcements_foreign", 1)
	}
	if result == announcementStale {
		n.Counters.Add("announcements_late", 1)
	}
}

// OnInstance sets the function that is called with each recorded announcement.
func (n *Node) OnInstance(handle func(model.Instance)) { n.onInstance = handle }
