package linepool

import (
	"slices"
	"strings"

	"tansyseam/internal/state/lineproto"
)

// simulatedClient is a client together with the session state that its
// responses so far imply.
type simulatedClient struct {
	client *Client
	// pending holds the queries that have not been answered yet, oldest first.
	pending   []pendingQuery
	state     byte
	variables map[string]string
	prepared  map[string]string
	// group is the write group of the open transaction, or nil.
	group     *writeGroup
	closed    bool
	connected bool
}

type pendingQuery struct {
	query Query
	// group is the write group of the query alone if it may write, or nil.
	group *writeGroup
}

// writeGroup is a transaction or a single write. Its writes are applied all
// together or not at all.
type writeGroup struct {
	id      int
	writes  int
	applied bool
	// noEffectResponse is the response, if any, that guaranteed to the client
	// that nothing of the group was applied.
	noEffectResponse string
}

func (s *simulation) newGroup() *writeGroup {
	s.groups++
	return &writeGroup{id: s.groups}
}

func (s *simulation) submitQuery(client *simulatedClient, query Query) {
	s.senders[query.ID] = client
	pending := pendingQuery{query: query}
	action := query.Statement.Action
	if action == lineproto.ActionWrite || action == lineproto.ActionExecute {
		pending.group = s.newGroup()
	}
	client.pending = append(client.pending, pending)
	s.Query(client.client, query, s.now)
}

// findPending returns the client that sent a query, and the query if it has not
// been answered yet. isNext is true if the client's next response is for this
// query.
func (s *simulation) findPending(id string) (client *simulatedClient, pending pendingQuery, isNext bool) {
	client = s.senders[id]
	if client == nil {
		return nil, pendingQuery{}, false
	}
	index := slices.IndexFunc(client.pending, func(pending pendingQuery) bool { return pending.query.ID == id })
	if index < 0 {
		return client, pendingQuery{}, false
	}
	return client, client.pending[index], index == 0 && !client.closed
}

// formattedResponse is the parsed form of a formatted response.
type formattedResponse struct {
	line string
	// code is the name of the error code, and result the payload of a
	// successful result. The other one is empty.
	code, result string
	// state is the session state after the query; 0 if the response ends the session.
	state byte
}

func parseResponse(line string) formattedResponse {
	response := formattedResponse{line: line}
	for _, message := range strings.Split(line, " / ") {
		kind, text, _ := strings.Cut(message, " ")
		if kind == "ERROR" {
			response.code = text
		}
		if kind == "DONE" {
			response.result = text
		}
		if kind == "READY" {
			response.state = text[0]
		}
	}
	return response
}

func (r formattedResponse) isSuccess() bool { return r.code == "" }

// checkResponses removes the recorded responses to a client and checks them.
func (s *simulation) checkResponses(client *simulatedClient) {
	lines := s.harness.responses[client.client]
	s.harness.responses[client.client] = nil
	for _, line := range lines {
		if !client.connected {
			client.connected = true
			continue
		}
		response := parseResponse(line)
		if len(client.pending) == 0 && response.state == 0 && s.closedClients[client.client] {
			s.checkGoodbye(client, response)
			continue
		}
		if len(client.pending) == 0 {
			s.recordViolation("a response without a pending query: %s", line)
			return
		}
		s.checkResponse(client, response)
	}
	if s.closedClients[client.client] && !client.closed {
		client.closed = true
		if len(client.pending) > 0 {
			s.recordViolation("the session of %s was closed without an answer", client.pending[0].query.ID)
		}
	}
}

// goodbyes holds, by session state, the error with which a node that stops ends a
// session that waits for no answer.
var goodbyes = map[byte]string{
	lineproto.StateIdle:          "BUSY",
	lineproto.StateInTransaction: "ABORTED",
	lineproto.StateFailed:        "ABORTED",
}

// checkGoodbye checks an error that ends a session which waits for no answer. The open
// transaction of the client, if it has one, must not have been applied.
func (s *simulation) checkGoodbye(client *simulatedClient, response formattedResponse) {
	if response.code != goodbyes[client.state] {
		s.recordViolation("the session was ended in state %c with %s", client.state, response.line)
	}
	if client.group == nil {
		return
	}
	client.group.noEffectResponse = response.line
	if client.group.applied {
		s.recordViolation("%s was sent for group %d, which was applied", response.line, client.group.id)
	}
}

func (s *simulation) checkResponse(client *simulatedClient, response formattedResponse) {
	if response.state == 0 {
		return
	}
	pending := client.pending[0]
	client.pending = client.pending[1:]
	s.answered++
	action := pending.query.Statement.Action
	begins := action == lineproto.ActionBegin || action == lineproto.ActionBeginReadOnly
	if begins && response.isSuccess() {
		client.group = s.newGroup()
	}
	s.checkEffect(client, pending, response)
	s.checkResult(pending, response)
	if response.isSuccess() {
		client.applySessionChange(pending.query.Statement)
	}
	if response.state != lineproto.StateInTransaction {
		client.group = nil
	}
	client.state = response.state
}

// checkEffect checks that a response agrees with whether its write group was
// applied.
func (s *simulation) checkEffect(client *simulatedClient, pending pendingQuery, response formattedResponse) {
	group := client.group
	single := client.state == lineproto.StateIdle && pending.group != nil
	if single {
		group = pending.group
	}
	if group == nil {
		return
	}
	query := pending.query
	if slices.Contains(noEffectCodeNames, response.code) {
		group.noEffectResponse = response.line
		if group.applied {
			s.recordViolation("%s was sent for a group that was applied: %s %s in group %d", response.line, query.ID, query.Text, group.id)
		}
	}
	commits := single || query.Statement.Action == lineproto.ActionCommit
	if response.isSuccess() && commits && group.writes > 0 && !group.applied {
		s.recordViolation("%s was sent for a group that was not applied", response.line)
	}
}

// instanceActions are the actions that an instance answers. The result contains
// the ID of the query.
var instanceActions = []lineproto.Action{lineproto.ActionRead, lineproto.ActionWrite, lineproto.ActionExecute, lineproto.ActionCommit}

// checkResult checks that a response contains the result for its query.
func (s *simulation) checkResult(pending pendingQuery, response formattedResponse) {
	query := pending.query
	fromInstance := slices.Contains(instanceActions, query.Statement.Action)
	if response.isSuccess() && fromInstance && response.result != resultOf(query.ID) {
		s.recordViolation("%s is not the answer to %s", response.line, query.ID)
	}
}

// resultOf returns the payload of a server's result for a query.
func resultOf(queryID string) string { return "s" + queryID }

func (client *simulatedClient) applySessionChange(statement lineproto.Statement) {
	if statement.Action == lineproto.ActionSet {
		client.variables[statement.Name] = statement.Value
	}
	if statement.Action == lineproto.ActionPrepare {
		client.prepared[statement.Name] = statement.PreparedText
	}
	if statement.Action == lineproto.ActionDeallocate {
		delete(client.prepared, statement.Name)
	}
}
