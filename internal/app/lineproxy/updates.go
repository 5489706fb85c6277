package lineproxy

import (
	"time"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/transport/worker"
)

func (p *Proxy) pollUpdates() {
	seeker := &node.PrimarySearch{}
	for !p.node.Workers.IsStopping() {
		var ask distribution.UpdateRequest
		stranded := false
		p.withPool(func(now time.Duration) {
			if stranded = p.pool.HasStrandedCommits(now); !stranded {
				ask = p.pool.UpdateRequest(now)
			}
		})
		if stranded {
			worker.Await(make(chan struct{}), 10*time.Millisecond)
			continue
		}
		sent := p.now()
		if update, ok := p.node.RequestUpdate(ask, seeker, 750*time.Millisecond); ok {
			p.withPool(func(now time.Duration) { p.pool.ApplyUpdate(update, sent, now) })
			continue
		}
		worker.Await(make(chan struct{}), 30*time.Millisecond)
	}
}

func (p *Proxy) adminCalls() *admin.API {
	return &admin.API{
		Node: p.node, Locker: &p.mutex, Proxy: p.pool, SessionCount: p.pool.Clients,
		QueueDepths: func(now time.Duration) map[string]int {
			_, lines := p.pool.Status(now)
			depths := map[string]int{}
			for _, one := range lines {
				depths[one.Database] = one.Transactions + one.Writes + one.Reads
			}
			return depths
		},
		Describe: func(now time.Duration) (any, any) { return p.pool.Status(now) },
	}
}
