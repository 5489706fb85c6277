package simulation

import (
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
)

const (
	lineAnnouncementTimeout = 200 * time.Millisecond
	announcementRetries     = 2
)

// info returns the next announcement of the instance.
func (i *lineInstance) info() model.Instance {
	i.lastAnnouncementNumber++
	return model.Instance{
		Name: i.name, Database: i.database, Address: i.address, Zone: i.zone, Role: i.role, Leaving: i.leavingSince != 0,
		Slots: i.fleet.config.Slots, SyncReplication: true, AnnouncementNumber: i.lastAnnouncementNumber,
	}
}

func (i *lineInstance) heartbeat() {
	i.after(announcementInterval, i.heartbeat)
	i.announce(i.info(), announcementRetries)
}

// announce sends an announcement to a random control server, which forwards it
// to the control primary before it answers. The announcement is retried if no
// answer arrives in time.
func (i *lineInstance) announce(info model.Instance, retries int) {
	receiver := pickRandom(i.simulator, i.fleet.controls)
	answered := false
	i.simulator.send(&i.machine, &receiver.machine, func() {
		primary := i.fleet.findControl(receiver.consensus.Record().Primary)
		if primary == nil {
			return
		}
		i.simulator.send(&receiver.machine, &primary.machine, func() {
			if !primary.isPrimary() {
				return
			}
			primary.onAnnouncement(info, func() {
				i.simulator.sendAlong([]*machine{&primary.machine, &receiver.machine, &i.machine}, func() {
					answered = true
					if info.Leaving && i.leavingAcknowledged == 0 {
						i.leavingAcknowledged = i.simulator.now
					}
				})
			})
		})
	})
	i.after(lineAnnouncementTimeout, func() {
		if !answered && retries > 0 {
			i.announce(info, retries-1)
		}
	})
}

// onAnnouncement stores an announcement, unless a newer one of the same instance
// is already stored. It acknowledges the announcement once a departure that it contains
// is recorded.
func (c *controlServer) onAnnouncement(info model.Instance, acknowledge func()) {
	if last, found := c.announcements[info.Name]; !found || info.AnnouncementNumber > last.Instance.AnnouncementNumber {
		c.announcements[info.Name] = distribution.Observation{Instance: info, ObservedAt: c.clock()}
		if c.distributor.UpdateInstances(c.announcementsByName()) {
			c.flushUpdates()
		}
	}
	recorded := c.announcements[info.Name].Instance
	if !c.distributor.RequiresDeparture(recorded) {
		acknowledge()
		return
	}
	c.distributor.AddDeparture(recorded, func(recorded bool) {
		if recorded {
			acknowledge()
		}
	})
	c.writeDepartures()
}

// writeDepartures submits the write of the departures that wait for one, if none is
// pending.
func (c *controlServer) writeDepartures() {
	write, due := c.distributor.NextDepartures(c.wallNow())
	if !due {
		return
	}
	c.submit(write.Build, func(submitted consensus.SubmitResult) {
		c.distributor.FinishDepartures()
		write.Reply(submitted.Committed)
		if submitted.Committed {
			c.writeDepartures()
		}
	})
}
