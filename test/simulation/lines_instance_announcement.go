package simulation

import (
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
)

const (
	lineAnnouncementTimeout = 200 * time.Millisecond
	announcementRetries     = 2
)

// info gives the next announcement of the instance.
func (i *lineInstance) info() model.Instance {
	i.announcementsMade++
	return model.Instance{
		Name: i.name, Database: i.database, Address: i.address, Zone: i.zone, Role: i.role, Leaving: i.leavingSince != 0,
		Slots: i.fleet.config.Slots, SyncReplication: true, AnnouncementNumber: i.announcementsMade,
	}
}

func (i *lineInstance) heartbeat() {
	i.after(announcementInterval, i.heartbeat)
	i.announce(i.info(), announcementRetries)
}

// announce sends an announcement to any control server, which passes it to the
// primary before it answers.
func (i *lineInstance) announce(info model.Instance, retries int) {
	first := pickRandom(i.simulator, i.fleet.controls)
	answered := false
	i.simulator.send(&i.machine, &first.machine, func() {
		primary := i.fleet.findControl(first.consensus.Record().Primary)
		if primary == nil {
			return
		}
		i.simulator.send(&first.machine, &primary.machine, func() {
			if !primary.isPrimary() {
				return
			}
			primary.onAnnouncement(info)
			i.simulator.sendAlong([]*machine{&primary.machine, &first.machine, &i.machine}, func() {
				answered = true
				if info.Leaving && i.leavingAcknowledged == 0 {
					i.leavingAcknowledged = i.simulator.now
				}
			})
		})
	})
	i.after(lineAnnouncementTimeout, func() {
		if !answered && retries > 0 {
			i.announce(info, retries-1)
		}
	})
}

// onAnnouncement takes in an announcement, unless a newer one is known.
func (c *controlServer) onAnnouncement(info model.Instance) {
	if last, known := c.announcements[info.Name]; known && info.AnnouncementNumber <= last.Instance.AnnouncementNumber {
		return
	}
	c.announcements[info.Name] = distribution.Observation{Instance: info, ObservedAt: c.clock()}
	if c.distributor.UpdateInstances(c.announcementsByName()) {
		c.flushUpdates()
	}
}
