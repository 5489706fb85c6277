package sessions

import (
	"time"

	"tansyseam.example/pooler/cmd/fleet"
	"tansyseam.example/pooler/cmd/shown"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/transport/run"
)

func (s *Sessions) askNews() {
	seeker := &fleet.Seeker{}
	for !s.node.Crew.IsStopping() {
		var ask steer.AskNews
		isSettling := false
		s.do(func(now time.Duration) {
			if isSettling = s.pool.IsSettling(now); !isSettling {
				ask = s.pool.Ask(now)
			}
		})
		if isSettling {
			run.Await(make(chan struct{}), 10*time.Millisecond)
			continue
		}
		sent := s.now()
		if news, isGood := s.node.AskNews(ask, seeker, 750*time.Millisecond); isGood {
			s.do(func(now time.Duration) { s.pool.Took(news, sent, now) })
			continue
		}
		run.Await(make(chan struct{}), 30*time.Millisecond)
	}
}

func (s *Sessions) shown() *shown.Plane {
	return &shown.Plane{
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
