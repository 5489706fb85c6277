package linepool

import "testing"

// BenchmarkStatement measures one read from the client's query to its response,
// on a node with a thousand sessions.
func BenchmarkStatement(b *testing.B) {
	const databases, sessions = 10, 1000
	machine := newCapacityMachine(databases, sessions)
	clients := openClients(machine, databases, sessions)
	query := read("t1")
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		machine.Query(clients[number%sessions], query, capacityNow)
		answerAll(machine)
	}
}
