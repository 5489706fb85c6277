package control

import (
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/app/config"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// Reply is what an instance answered to an order.
type Reply struct {
	Role     string
	Term     uint64
	Position model.Position
	// IsBusy says that it lives and gave no row, IsGone that no instance of
	// that name is at the address; Err that nothing was answered.
	IsBusy bool
	IsGone bool
	Err    error
}

// Seams is how synced instances and their platform are spoken to.
type Seams struct {
	// Order gives an instance one of the stream package's orders.
	Order func(address, database, instance, order string, term uint64, bound time.Duration) Reply
	// Promote makes the platform's one call and gives the status answered;
	// ErrUnsent says that it did not leave this machine.
	Promote func(place config.Settings, database, instance, holder string, fence uint64) (status int, err error)
}

const (
	announceBound = 800 * time.Millisecond
	orderBound    = 400 * time.Millisecond
)

func (c *Control) onSynced(instance model.Instance) (string, bool) {
	if taken := c.takeAnnouncement(instance); taken.IsTaken {
		return taken.Door, true
	}
	address, _ := c.node.Primary()
	if address == "" || address == c.node.Self().Link {
		return "", false
	}
	reply, err := c.node.Hub.Call(address, message.Announce{Instance: instance}, announceBound)
	taken, isOne := reply.(message.Announced)
	if err != nil || !isOne || !taken.IsTaken {
		c.node.Counts.Add("announcements_not_passed", 1)
		return "", false
	}
	c.node.Take(instance)
	return taken.Door, true
}

func (c *Control) takeAnnouncement(instance model.Instance) message.Announced {
	if !c.isPrimary() || !c.node.Take(instance) {
		return message.Announced{}
	}
	c.enlist(instance.Name)
	return message.Announced{IsTaken: true, Door: c.node.Self().Door}
}

func (c *Control) enlist(name string) {
	heard, _ := c.node.Heard(name)
	c.mutex.Lock()
	isNew := c.steer.Enlist(heard.Instance)
	c.mutex.Unlock()
	if isNew {
		c.flush()
	}
}

func (c *Control) roster() {
	heard := c.heard()
	c.mutex.Lock()
	isNew := c.steer.Roster(heard)
	c.mutex.Unlock()
	if isNew {
		c.flush()
	}
}

func (c *Control) cover(mark syncrepl.Mark) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.steer.Covers(mark)
}

func (c *Control) decideTakeover(database string) {
	answer, isOne := c.askCase(database)
	if !isOne || answer.Takeover.Database != database {
		return
	}
	answer.Takeover.IsFenced = c.node.Place().IsFenced
	c.mutex.Lock()
	at := c.holder.Show(answer.Takeover, c.node.Now())
	c.mutex.Unlock()
	for _, effect := range syncrepl.Step(at, syncrepl.DefaultTiming()) {
		if record, isRecord := effect.(asyncrepl.Record); isRecord {
			if !c.recordCase(at.Writer, at.IsKnown, record) {
				return
			}
			c.mutex.Lock()
			c.holder.Recorded(record)
			c.mutex.Unlock()
			continue
		}
		c.carryTakeover(at, effect)
	}
}

func (c *Control) carryTakeover(at syncrepl.Case, effect any) {
	if ask, isAsk := effect.(syncrepl.Ask); isAsk {
		c.order(at, ask.Instance, ask.Address, lineproto.OrderStatus, 0)
		return
	}
	if down, isDown := effect.(syncrepl.StepDown); isDown {
		c.log.Info("order to step down", "database", at.Database, "instance", down.Instance, "term", down.Term)
		c.node.Counts.Add("step_down_orders", 1)
		c.order(at, down.Instance, down.Address, lineproto.OrderStepDown, down.Term)
		return
	}
	if mark, isMark := effect.(syncrepl.Mark); isMark {
		c.sendMark(mark)
		return
	}
	if call, isCall := effect.(syncrepl.Promote); isCall {
		c.promoteSynced(call)
	}
}

func (c *Control) sendMark(mark syncrepl.Mark) {
	if c.isPrimary() {
		c.cover(mark)
		return
	}
	if address, _ := c.node.Primary(); address != "" {
		c.node.Hub.Send(address, mark)
	}
}

func (c *Control) order(at syncrepl.Case, instance, address, order string, term uint64) {
	if c.seams.Order == nil {
		return
	}
	c.mutex.Lock()
	told := c.holder.Order(at, instance)
	c.mutex.Unlock()
	if told == nil {
		return
	}
	c.node.Counts.Add("orders", 1)
	c.node.Crew.Go(func() {
		reply := c.seams.Order(address, at.Database, instance, order, term, orderBound)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		told(syncrepl.Seen{
			IsAnswered: reply.Err == nil && !reply.IsBusy && !reply.IsGone, IsBusy: reply.IsBusy, IsGone: reply.IsGone,
			Role: reply.Role, Term: reply.Term, Position: reply.Position,
		}, c.node.Now())
	})
}

func (c *Control) promoteSynced(call syncrepl.Promote) {
	if c.seams.Promote == nil {
		return
	}
	c.node.Counts.Add("promote_calls", 1)
	c.mutex.Lock()
	told := c.holder.Call(call, c.node.Now())
	c.mutex.Unlock()
	c.node.Crew.Go(func() {
		status, err := c.seams.Promote(c.node.Place(), call.Database, call.Instance, call.Holder, call.Fence)
		c.log.Info("promote call made", "database", call.Database, "instance", call.Instance, "fence", call.Fence, "status", status, "error", err)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if err != nil {
			status = 0
		}
		told(status, errors.Is(err, ErrUnsent))
	})
}
