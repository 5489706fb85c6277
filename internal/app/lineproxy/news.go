package lineproxy

import (
	"time"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/transport/worker"
)

func (s *Sessions) askNews() {
	seeker := &node.Seeker{}
	for !s.node.Crew.IsStopping() {
		var ask distribution.AskNews
		isSettling := false
		s.do(func(now time.Duration) {
			if isSettling = s.pool.IsSettling(now); !isSettling {
				ask = s.pool.Ask(now)
			}
		})
		if isSettling {
			worker.Await(make(chan struct{}), 10*time.Millisecond)
			continue
		}
		sent := s.now()
		if news, isGood := s.node.AskNews(ask, seeker, 750*time.Millisecond); isGood {
			s.do(func(now time.Duration) { s.pool.Took(news, sent, now) })
			continue
		}
		worker.Await(make(chan struct{}), 30*time.Millisecond)
	}
}

func (s *Sessions) shown() *admin.Plane {
	return &admin.Plane{
		Node: s.node, Lock: &s.mutex, Machine: s.pool, Sessions: s.pool.Clients,
		Queues: func(now time.Duration) map[string]int {
			_, lines := s.pool.Show(now)
			depths := map[string]int{}
			for _, one := range lines {
				depths[one.Database] = one.Turns + one.Writes + one.Reads
			}
			return depths
		},
		Show: func(now time.Duration) (any, any) { return s.pool.Show(now) },
	}
}
