package sessions

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam.example/pooler/cmd/control"
	"tansyseam.example/pooler/cmd/fleet"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/state/view"
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

func (s *Sessions) serveCalls() {
	for _, path := range []string{"/v1/bindings/put", "/v1/changes/book", "/v1/changes/list"} {
		s.node.Serve(path, func(_ *fastjson.Value, raw []byte, _ *http.Request) (int, any) { return s.node.Pass(path, raw) })
	}
	s.node.Serve("/v1/ready", func(*fastjson.Value, []byte, *http.Request) (int, any) {
		s.mutex.Lock()
		isReady, why := s.pool.Ready(s.now())
		s.mutex.Unlock()
		status := http.StatusOK
		if !isReady {
			status = http.StatusServiceUnavailable
		}
		return status, map[string]any{"ready": isReady, "why": why}
	})
	s.node.Serve("/v1/fleet", func(*fastjson.Value, []byte, *http.Request) (int, any) { return http.StatusOK, s.query("fleet") })
	s.node.Serve("/v1/bindings/list", func(*fastjson.Value, []byte, *http.Request) (int, any) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return http.StatusOK, control.ListOf(s.node.Place().Name, s.pool.Serve().Doc(), s.pool.Effective(s.now()))
	})
	s.node.Serve("/v1/vitals", func(*fastjson.Value, []byte, *http.Request) (int, any) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		now, known := s.now(), s.pool.Serve()
		isReady, why := s.pool.Ready(now)
		_, lines := s.pool.Show(now)
		depths := map[string]int{}
		for _, one := range lines {
			depths[one.Database] = one.Turns + one.Writes + one.Reads
		}
		return http.StatusOK, map[string]any{
			"node": s.node.Place().Name, "is_ready": isReady, "why": why, "lease_ms": known.Left(now).Milliseconds(),
			"epoch": known.Epoch(), "sequence": s.pool.Effective(now).Sequence, "sessions": s.pool.Clients(), "queues": depths,
		}
	})
}

func (s *Sessions) query(what string) []byte {
	s.mutex.Lock()
	now, known := s.now(), s.pool.Serve()
	instances, lines := s.pool.Show(now)
	isReady, why := s.pool.Ready(now)
	body := map[string]any{
		"node": s.node.Place().Name, "kind": view.KindData, "what": what, "instances": instances, "lines": lines,
		"writers": control.WritersOf(known.Doc()), "is_ready": isReady, "why": why, "lease_ms": known.Left(now).Milliseconds(),
		"stamp": map[string]any{"epoch": known.Stamp().Epoch, "sequence": known.Stamp().Sequence},
		"sets":  control.ListOf(s.node.Place().Name, known.Doc(), s.pool.Effective(now)), "sessions": s.pool.Clients(), "weight": s.node.Place().Weight,
	}
	s.mutex.Unlock()
	body["nodes"] = control.NodesOf(s.node)
	data, _ := json.Marshal(body)
	return data
}
