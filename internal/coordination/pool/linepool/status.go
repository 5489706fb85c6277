package linepool

import (
	"time"

	"tansyseam/internal/coordination/flowcontrol"
	"tansyseam/internal/state/model"
)

// InstanceStatus is what operators are shown of an instance.
type InstanceStatus struct {
	Instance model.Instance `json:"instance"`
	// AnsweredAgeMS is the time since its last message, in milliseconds.
	AnsweredAgeMS int64               `json:"answered_ms"`
	Position      model.Position      `json:"position"`
	Window        flowcontrol.Reading `json:"admission"`
	// Refusals counts the connections refused in a row.
	Refusals int `json:"refused"`
	// Connections and Idle count the node's connections to it.
	Connections int `json:"sessions"`
	Idle        int `json:"idle"`
	// Quota and QuotaIdle are the most connections that the node may open, and
	// may keep idle.
	Quota     int `json:"share"`
	QuotaIdle int `json:"kept"`
}

// QueueStatus is what operators are shown of a database's queues: the numbers
// of requests in each, and the position of the last confirmed commit.
type QueueStatus struct {
	Database      string         `json:"database"`
	Transactions  int            `json:"turns"`
	Writes        int            `json:"writes"`
	Reads         int            `json:"reads"`
	InFlight      int            `json:"out"`
	Unconfirmed   int            `json:"confirms"`
	HighWatermark model.Position `json:"high"`
}

// Status returns what operators are shown of the node's pool.
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
