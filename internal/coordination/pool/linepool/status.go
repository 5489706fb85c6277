package linepool

import (
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/state/model"
)

// InstanceStatus is the status of an instance that is shown to operators.
type InstanceStatus struct {
	Instance model.Instance `json:"instance"`
	// AnsweredAgeMS is the time since the instance's last message, in
	// milliseconds.
	AnsweredAgeMS int64               `json:"answered_ms"`
	Position      model.Position      `json:"position"`
	Window        flowcontrol.Reading `json:"admission"`
	// Refusals is the number of consecutive refused connections.
	Refusals int `json:"refused"`
	// Connections is the number of the node's connections to the instance. Idle
	// is the number of those that are idle.
	Connections int `json:"sessions"`
	Idle        int `json:"idle"`
	// Quota is the maximum number of connections that the node may open.
	// QuotaIdle is the maximum number that it may keep idle.
	Quota     int `json:"share"`
	QuotaIdle int `json:"kept"`
}

// QueueStatus is the status of a database's queues that is shown to operators:
// the number of requests in each, and the highest position of a confirmed
// commit.
type QueueStatus struct {
	Database      string         `json:"database"`
	Transactions  int            `json:"turns"`
	Writes        int            `json:"writes"`
	Reads         int            `json:"reads"`
	InFlight      int            `json:"out"`
	Unconfirmed   int            `json:"confirms"`
	HighWatermark model.Position `json:"high"`
}

// Status returns the status of the node's pool that is shown to operators.
func (m *Machine) Status(now time.Duration) (instances []InstanceStatus, queues []QueueStatus) {
	instances, queues = []InstanceStatus{}, []QueueStatus{}
	for _, instance := range m.instances.All() {
		instances = append(instances, instance.status(now))
	}
	for _, database := range m.databases.All() {
		queues = append(queues, database.status())
	}
	return instances, queues
}

func (i *instanceState) status(now time.Duration) InstanceStatus {
	return InstanceStatus{
		Instance:      i.info,
		AnsweredAgeMS: (now - i.lastResponse).Milliseconds(),
		Position:      i.position,
		Window:        i.window.Reading(),
		Refusals:      i.refusals,
		Connections:   len(i.conns),
		Idle:          len(i.idle),
		Quota:         i.quota.MaxOpen,
		QuotaIdle:     i.quota.MaxIdle,
	}
}

func (d *databaseState) status() QueueStatus {
	return QueueStatus{
		Database:      d.name,
		Transactions:  len(d.transactionQueue),
		Writes:        len(d.primaryQueue),
		Reads:         len(d.readQueue),
		InFlight:      len(d.inFlight),
		Unconfirmed:   len(d.unconfirmed),
		HighWatermark: d.highWatermark,
	}
}
