package platformstandin

import (
	"maps"
	"strings"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

// execute runs a statement that holds a slot.
func (c *session) execute(statement *statement, act, rest, text, tail string) bool {
	i, s := c.instance, c.instance.service
	code, busy, lagging := "", false, false
	s.withLock(func() {
		busy = i.statementsToRefuse > 0 || i.busyUntil > s.group.Now()
		i.statementsToRefuse = max(i.statementsToRefuse-1, 0)
		lagging = c.transaction == nil && !i.appliedPosition().Covers(statement.minPosition)
	})
	timer := time.NewTimer(500 * time.Millisecond)
	defer timer.Stop()
	if !busy && !lagging {
		select {
		case i.slots <- struct{}{}:
		case <-timer.C:
			busy = true
		}
	}
	if busy {
		return c.refuse(act, "BUSY")
	}
	if lagging {
		return c.refuse(act, "LAGGING")
	}
	defer func() { <-i.slots }()
	if worker.Await(s.group.Stopping(), s.StatementTime) {
		return false
	}
	execution := linehistory.Execution{Instance: i.ID, Service: s.Name, Conn: c.name, ID: statement.id, Act: act, Text: statement.text, Shape: text, Rest: tail, Values: maps.Clone(c.values)}
	if text != "" {
		execution.Text = ""
	}
	key, data, _ := strings.Cut(rest, " ")
	var wait chan struct{}
	lost, aborted := false, false
	s.withLock(func() {
		if !i.running || i.hung {
			aborted = true
			return
		}
		transaction := c.transaction
		writing := transaction != nil && !transaction.readOnly
		empty := act == linehistory.ActCommit && len(transaction.ids) == 0
		readOnly := (act == linehistory.ActWrite || writing) && !empty && (!i.primary || (writing && i.term != transaction.term) || (transaction != nil && transaction.readOnly && act == linehistory.ActWrite))
		if readOnly {
			code = "READONLY " + i.ID
			return
		}
		execution.At, execution.Stamp, execution.LeavingAcknowledged = s.group.Now(), s.newStamp(i), i.leaveAcknowledgedAt
		if transaction != nil {
			execution.Transaction = transaction.number
		}
		if act == linehistory.ActRead {
			execution.Rows = []string{key + "=" + i.values[key]}
		}
		committing := (act == linehistory.ActWrite && transaction == nil) || (act == linehistory.ActCommit && len(transaction.ids) > 0)
		if act == linehistory.ActWrite && transaction != nil {
			transaction.ids = append(transaction.ids, statement.id)
			transaction.values[key] = data
		}
		if committing {
			ids, values := []string{statement.id}, map[string]string{key: data}
			if transaction != nil {
				ids, values = append(transaction.ids, statement.id), transaction.values
			}
			execution.CommittedAt, wait = s.commit(i, ids, values)
		}
		execution.LogEnd = i.appliedPosition()
		if act == linehistory.ActCommit {
			c.transaction = nil
		}
		if i.answersToLose > 0 {
			i.answersToLose--
			lost = true
		}
		s.history.Update(func(h *linehistory.History) { h.Executions = append(h.Executions, execution) })
	})
	if aborted {
		return false
	}
	if code != "" {
		return c.refuse(act, code)
	}
	if wait != nil {
		timeout := time.NewTimer(2 * time.Second)
		defer timeout.Stop()
		if _, timedOut := worker.Receive(timeout.C, wait); timedOut {
			return c.write("ERROR TIMEOUT", c.readyLine())
		}
	}
	if lost {
		return false
	}
	lines := []string{}
	for _, row := range execution.Rows {
		lines = append(lines, "ROW "+row)
	}
	return c.write(append(lines, "DONE "+execution.Stamp, c.readyLine())...)
}
