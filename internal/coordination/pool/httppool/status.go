package httppool

import (
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/state/model"
)

// InstanceStatus is the status of an instance that operators see, under the names of
// the API. Ages are in milliseconds. StalenessMS is the time since the instance was
// last known to have all confirmed commits.
type InstanceStatus struct {
	Instance       model.Instance      `json:"instance"`
	AnnouncedAgeMS int64               `json:"heard_ms"`
	AnsweredAgeMS  int64               `json:"answered_ms"`
	Position       model.Position      `json:"position"`
	StalenessMS    int64               `json:"fresh_ms"`
	Window         flowcontrol.Reading `json:"admission"`
	Connections    int                 `json:"sessions"`
	Idle           int                 `json:"idle"`
	Pinned         int                 `json:"pinned"`
	Share          int                 `json:"share"`
}

// QueueStatus is the status of a database's queues that operators see.
type QueueStatus struct {
	Database      string         `json:"database"`
	Transactions  int            `json:"turns"`
	Writes        int            `json:"writes"`
	Reads         int            `json:"reads"`
	Unconfirmed   int            `json:"confirms"`
	HighWatermark model.Position `json:"high"`
}

// Status returns the status of the instances and queues for operators.
func (m *Machine) Status(now time.Duration) (instances []InstanceStatus, queues []QueueStatus) {
	instances, queues = []InstanceStatus{}, []QueueStatus{}
	for _, instance := range m.instances.All() {
		instances = append(instances, m.instanceStatus(instance, now))
	}
	for _, database := range m.databases.All() {
		queues = append(queues, QueueStatus{
			Database:      database.name,
			Transactions:  database.transactions.length,
			Writes:        database.writes.length,
			Reads:         database.reads.length,
			Unconfirmed:   len(database.unconfirmed),
			HighWatermark: m.Routing().HighWatermark(database.name),
		})
	}
	return instances, queues
}

func (m *Machine) instanceStatus(instance *instanceState, now time.Duration) InstanceStatus {
	observation := instance.observation
	return InstanceStatus{
		Instance:       observation.Instance,
		AnnouncedAgeMS: (now - observation.LastAnnouncement).Milliseconds(),
		AnsweredAgeMS:  (now - observation.LastResponse).Milliseconds(),
		Position:       observation.Position,
		StalenessMS:    (now - m.Routing().FreshUntil(instance.name(), now)).Milliseconds(),
		Window:         instance.window.Reading(),
		Connections:    instance.connections,
		Idle:           len(instance.idle),
		Pinned:         len(instance.pinnedSessions),
		Share:          m.connectionShare(instance),
	}
}

// WindowReading returns the reading of an instance's flow-control window. It returns
// false if the instance is unknown.
func (m *Machine) WindowReading(instanceName string) (flowcontrol.Reading, bool) {
	instance := m.instances.Get(instanceName)
	if instance == nil {
		return flowcontrol.Reading{}, false
	}
	return instance.window.Reading(), true
}
