package linepool

import (
	"testing"
	"time"
)

// BenchmarkStatement measures one read from the client's query to its response,
// on a node with a thousand sessions that runs 10,000 statements a second.
func BenchmarkStatement(b *testing.B) {
	const databases, sessions = 10, 1000
	const statementInterval = 100 * time.Microsecond
	machine := newCapacityMachine(databases, sessions)
	clients := openClients(machine, databases, sessions)
	query := read("t1")
	b.ReportAllocs()
	now := capacityNow
	for number := 0; b.Loop(); number++ {
		now += statementInterval
		machine.Query(clients[number%sessions], query, now)
		answerAll(machine, now)
	}
}
