package httpproxy

import (
	"net/http"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/pool/httppool"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/worker"
)

func (p *Proxy) registerHandlers() {
	p.node.HandleCall("/v1/session/open", p.openSession)
	p.node.HandleCall("/v1/session/close", p.closeSession)
	for path, parse := range operationParsers {
		p.node.HandleCall(path, func(body *fastjson.Value, _ []byte, _ *http.Request) (int, any) {
			return p.serveRequest(body, parse(body))
		})
	}
}

func (p *Proxy) openSession(body *fastjson.Value, _ []byte, request *http.Request) (int, any) {
	positions, valid := decodePositions(stringField(body, "mark"))
	if !valid {
		return http.StatusBadRequest, node.NewErrorResponse("the mark is not one of ours")
	}
	var session httppool.OpenedSession
	var rejection httppool.Result
	opened := false
	p.apply(func(now time.Duration) {
		session, rejection, opened = p.pool.OpenSession(stringField(body, "binding"), request.RemoteAddr, positions, now)
	})
	if !opened {
		return httpStatus(rejection), newRejection(rejection)
	}
	return http.StatusOK, OpenSessionResponse{
		Mark: encodePositions(session.MinPositions), Sequence: session.BindingSequence, Session: session.ID,
	}
}

func (p *Proxy) closeSession(body *fastjson.Value, _ []byte, _ *http.Request) (int, any) {
	var positions map[string]model.Position
	found := false
	p.apply(func(now time.Duration) {
		positions, found = p.pool.CloseSession(stringField(body, "session"), now)
	})
	if !found {
		return http.StatusNotFound, node.NewErrorResponse("no such session here")
	}
	return http.StatusOK, CloseSessionResponse{Mark: encodePositions(positions)}
}

func (p *Proxy) serveRequest(body *fastjson.Value, op httppool.Op) (int, any) {
	timeout := time.Duration(body.GetInt64("deadline_ms")) * time.Millisecond
	done := make(chan httppool.Result, 1)
	var request *httppool.Request
	var result httppool.Result
	accepted := false
	p.apply(func(now time.Duration) {
		request, result, accepted = p.pool.Accept(stringField(body, "session"), op, timeout, done, now)
	})
	if !accepted && result.Outcome == "" {
		return httpStatus(result), newRejection(result)
	}
	if accepted {
		result = p.awaitResult(request, done)
	}
	return httpStatus(result), newOutcomeResponse(result)
}

// awaitResult submits a request to the first stage and waits for its result. If the
// stage has no room or the request's deadline passes, it cancels the request, which
// ends it with the outcome known by then.
func (p *Proxy) awaitResult(request *httppool.Request, done <-chan httppool.Result) httppool.Result {
	remaining := request.Deadline() - p.now()
	if !p.bindStage.Submit(request, remaining) {
		p.cancel(request)
	}
	timer := time.NewTimer(request.Deadline() - p.now())
	defer timer.Stop()
	if result, received := worker.Receive(done, timer.C); received {
		return result
	}
	p.cancel(request)
	return <-done
}
