package linepool

import (
	"fmt"
	"slices"

	"tansyseam/internal/state/lineproto"
)

// invariantViolation checks the machine's invariants, which must hold after
// every event. It returns a description of the first violation, or an empty
// string.
func (m *Machine) invariantViolation() string {
	for _, instance := range m.instances.All() {
		if violation := instance.violation(); violation != "" {
			return violation
		}
	}
	listed := map[*Request]int{}
	for _, database := range m.databases.All() {
		if violation := database.violation(listed); violation != "" {
			return violation
		}
	}
	for _, request := range m.awaitingLease {
		if request.phase == phaseAwaitingLease {
			listed[request]++
		}
	}
	for request, count := range listed {
		if count != 1 {
			return fmt.Sprintf("a request is in %d lists", count)
		}
		if request.client.closed || request.client.request != request {
			return "the client of a listed request does not wait for it"
		}
	}
	for client := range m.clients {
		if client.request != nil && listed[client.request] != 1 {
			return "a client waits for a request that is in no list"
		}
		if violation := client.violation(); violation != "" {
			return violation
		}
	}
	return ""
}

func (i *instanceState) violation() string {
	opening, attempts := 0, 0
	for _, conn := range i.conns {
		if conn.instance != i {
			return "a connection belongs to another instance"
		}
		if violation := conn.violation(); violation != "" {
			return violation
		}
		if conn.state == connOpening {
			opening++
		}
		if conn.attempt != nil {
			attempts++
		}
	}
	for index, conn := range i.idle {
		inUse := conn.state != connIdle || conn.owner != nil || conn.attempt != nil
		misplaced := !slices.Contains(i.conns, conn) || slices.Contains(i.idle[:index], conn)
		if inUse || misplaced {
			return "the idle list has a connection that is in use, unknown or listed twice"
		}
	}
	if opening != i.opening {
		return fmt.Sprintf("%s counts %d opening connections, has %d", i.info.Name, i.opening, opening)
	}
	if counted := i.window.Reading().InFlight; counted != attempts {
		return fmt.Sprintf("%s counts %d attempts, has %d", i.info.Name, counted, attempts)
	}
	return ""
}

func (c *Conn) violation() string {
	if c.state == connClosed {
		return "a closed connection is listed"
	}
	if c.owner != nil && (c.owner.transaction == nil || c.owner.transaction.conn != c) {
		return "the owner of a connection has no transaction on it"
	}
	if c.state == connIdle && c.owner == nil && !slices.Contains(c.instance.idle, c) {
		return "an idle connection is not in the idle list"
	}
	if c.state == connBusy && c.attempt == nil && len(c.pending) == 0 {
		return "a busy connection has no pending answer"
	}
	return ""
}

// violation returns a description of the first violation in the database's
// lists, or an empty string. It counts the requests in listed.
func (d *databaseState) violation(listed map[*Request]int) string {
	for _, queue := range []requestQueue{d.transactionQueue, d.primaryQueue, d.readQueue} {
		for _, request := range queue {
			listed[request]++
			if request.phase != phaseQueued {
				return fmt.Sprintf("a queue holds a request in phase %d", request.phase)
			}
		}
	}
	for _, request := range d.inFlight {
		listed[request]++
		if request.phase != phaseInFlight || len(request.attempts) == 0 {
			return fmt.Sprintf("a request in flight is in phase %d, with %d attempts", request.phase, len(request.attempts))
		}
	}
	for _, request := range d.unconfirmed {
		listed[request]++
		if request.phase != phaseUnconfirmed {
			return fmt.Sprintf("an unconfirmed request is in phase %d", request.phase)
		}
	}
	return ""
}

func (c *Client) violation() string {
	inTransaction := c.state == lineproto.StateInTransaction
	if inTransaction != (c.transaction != nil) && c.request == nil {
		return fmt.Sprintf("a client is in state %c, but the presence of its transaction is %v", c.state, c.transaction != nil)
	}
	if !c.transaction.isOpenAtInstance() {
		return ""
	}
	if conn := c.transaction.conn; conn.owner != c || conn.state == connClosed {
		return "a transaction's connection is closed or has another owner"
	}
	return ""
}
