// Package simulation runs a whole fleet in one thread under a virtual clock:
// the product's own coordination and state code on simulated links, disks,
// clocks and instances. The same seed gives the same history, to the byte.
//
// There are two kinds of fleets. Run simulates back ends that push their
// positions and are reached by the product's own protocol. RunLines simulates
// synchronously replicating instances that are reached by line sessions; its
// files begin with lines_. Both have the same control servers.
//
// A run has a span of random faults and a span of recovery. What was recorded
// is checked by test/history, or, for line sessions, while the run goes on.
//
// Where to begin reading:
//
//   - run.go and lines_run.go have the course of a run, config.go and
//     lines_config.go what it is made of, fleet.go and lines_fleet.go the parts.
//   - simulator.go is the virtual clock with the events to come, machine.go what
//     all simulated processes have, network.go and disk.go what joins and stores.
//   - control*.go are the control servers, which both kinds of fleets have;
//     node*.go and instance*.go are the nodes and instances of Run, with
//     connection.go between them.
//   - caller*.go, operator.go and platform.go are those who use and change the
//     fleet of Run, failover.go what control and the platform do with its
//     instances. The same names after lines_ are those of RunLines, whose callers
//     are clients.
//   - fault_catalog.go and lines_faults.go list the faults.
//   - window*.go is a second writing of the paper's equations, by which the
//     windows of a whole fleet are checked; admission*.go are experiments with
//     one server.
//   - digest.go and testdata hold histories to those that were recorded.
package simulation
