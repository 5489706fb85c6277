package platformstandin

import (
	"maps"
	"strings"
	"time"

	"tansyseam/internal/transport/worker"
	"tansyseam/test/linehistory"
)

const (
	// slotTimeout is the maximum time that a statement waits for a slot.
	slotTimeout = 500 * time.Millisecond
	// commitTimeout is the maximum time that a commit waits for a replica.
	commitTimeout = 2 * time.Second
)

// operation is a statement that occupies a slot of its instance.
type operation struct {
	*statement
	act       string
	arguments string
	// preparedText is the text of the prepared statement that the operation
	// runs, and preparedRest the arguments that follow it. Both are empty if the
	// operation runs its own text.
	preparedText, preparedRest string
}

func (o operation) isWrite() bool  { return o.act == linehistory.ActWrite }
func (o operation) isCommit() bool { return o.act == linehistory.ActCommit }

// outcome is the outcome of an operation: the operation was aborted because its
// instance is not running or is hung, was refused with a code, or was run.
type outcome struct {
	aborted bool
	refusal string
	// replicated is closed once the commit may be answered (Service.commit). It is
	// nil if the operation did not commit anything.
	replicated chan struct{}
	// answerLost is true if the connection is to be closed without an answer.
	answerLost bool
	execution  linehistory.Execution
}

// execute runs an operation and answers it. It returns false if the connection
// must be closed.
func (c *session) execute(operation operation) bool {
	i, s := c.instance, c.instance.service
	if code := c.takeSlot(operation); code != "" {
		return c.refuse(operation.act, code)
	}
	defer func() { <-i.slots }()
	if worker.Await(s.group.Stopping(), s.statementTime()) {
		return false
	}
	result := c.apply(operation)
	if result.aborted {
		return false
	}
	if result.refusal != "" {
		return c.refuse(operation.act, result.refusal)
	}
	if result.replicated != nil && !awaitReplicas(result.replicated) {
		return c.write("ERROR TIMEOUT", c.readyLine())
	}
	if result.answerLost {
		return false
	}
	lines := []string{}
	for _, row := range result.execution.Rows {
		lines = append(lines, "ROW "+row)
	}
	return c.write(append(lines, "DONE "+result.execution.Stamp, c.readyLine())...)
}

// takeSlot takes a slot of the instance and returns "", or returns the code with
// which the operation is refused.
func (c *session) takeSlot(operation operation) (code string) {
	i, s := c.instance, c.instance.service
	busy, lagging := false, false
	s.withLock(func() {
		busy = i.statementsToRefuse > 0 || i.busyUntil > s.group.Now()
		i.statementsToRefuse = max(i.statementsToRefuse-1, 0)
		lagging = c.transaction == nil && !i.appliedPosition().Covers(operation.minPosition)
	})
	if busy {
		return "BUSY"
	}
	if lagging {
		return "LAGGING"
	}
	timer := time.NewTimer(slotTimeout)
	defer timer.Stop()
	select {
	case i.slots <- struct{}{}:
		return ""
	case <-timer.C:
		return "BUSY"
	}
}

func awaitReplicas(replicated chan struct{}) bool {
	timeout := time.NewTimer(commitTimeout)
	defer timeout.Stop()
	_, timedOut := worker.Receive(timeout.C, replicated)
	return !timedOut
}

// apply runs an operation on the instance and records the execution.
func (c *session) apply(operation operation) outcome {
	i, s := c.instance, c.instance.service
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !i.running || i.hung {
		return outcome{aborted: true}
	}
	if c.isRefusedAsReadOnly(operation) {
		return outcome{refusal: "READONLY " + i.ID}
	}
	result := outcome{execution: c.newExecution(operation)}
	key, value, _ := strings.Cut(operation.arguments, " ")
	if operation.act == linehistory.ActRead {
		result.execution.Rows = []string{key + "=" + i.values[key]}
	}
	if operation.isWrite() && c.transaction != nil {
		c.transaction.ids = append(c.transaction.ids, operation.id)
		c.transaction.values[key] = value
	}
	if operation.isWrite() && c.transaction == nil {
		result.execution.CommittedAt, result.replicated = s.commit(i, []string{operation.id}, map[string]string{key: value})
	}
	if operation.isCommit() && len(c.transaction.ids) > 0 {
		ids := append(c.transaction.ids, operation.id)
		result.execution.CommittedAt, result.replicated = s.commit(i, ids, c.transaction.values)
	}
	result.execution.LogEnd = i.appliedPosition()
	if operation.isCommit() {
		c.transaction = nil
	}
	if i.answersToLose > 0 {
		i.answersToLose--
		result.answerLost = true
	}
	s.history.Update(func(h *linehistory.History) { h.Executions = append(h.Executions, result.execution) })
	return result
}

// isRefusedAsReadOnly reports whether an operation is refused with READONLY. A
// write in a read-only transaction is refused. Any other write, and each
// operation in a read-write transaction, is refused if the instance is not
// primary or, in a transaction, is no longer in the term in which the
// transaction began. The commit of a transaction without writes is never
// refused.
func (c *session) isRefusedAsReadOnly(operation operation) bool {
	i, transaction := c.instance, c.transaction
	if operation.isCommit() && len(transaction.ids) == 0 {
		return false
	}
	writing := transaction != nil && !transaction.readOnly
	if !operation.isWrite() && !writing {
		return false
	}
	if operation.isWrite() && transaction != nil && transaction.readOnly {
		return true
	}
	return !i.primary || (writing && i.term != transaction.term)
}

func (c *session) newExecution(operation operation) linehistory.Execution {
	i, s := c.instance, c.instance.service
	execution := linehistory.Execution{
		At: s.group.Now(), Instance: i.ID, Service: s.Name, Conn: c.name, ID: operation.id, Act: operation.act,
		Shape: operation.preparedText, Rest: operation.preparedRest, Values: maps.Clone(c.values),
		Stamp: s.newStamp(i), LeavingAcknowledged: i.leaveAcknowledgedAt,
	}
	if operation.preparedText == "" {
		execution.Text = operation.text
	}
	if c.transaction != nil {
		execution.Transaction = c.transaction.number
	}
	return execution
}
