// Package simulation runs a whole fleet in one thread under a virtual clock. The
// product's own coordination and state code runs on simulated links, disks,
// clocks and instances. The same seed produces the same history, byte for byte.
//
// There are two kinds of fleets. Run simulates back ends that push their
// positions and are accessed over the product's own protocol. RunLines simulates
// synchronously replicating instances that are accessed over line sessions; the
// names of its files begin with lines_. Both kinds use the same control servers.
//
// A run has a fault phase, which injects random faults, and a recovery phase.
// Package test/history checks the recorded evidence of Run. RunLines checks its
// fleet during the run.
//
// Where to begin reading:
//
//   - run.go and lines_run.go contain the phases of a run, config.go and
//     lines_config.go its configuration, fleet.go and lines_fleet.go the parts of
//     the fleet.
//   - simulator.go contains the virtual clock and the queue of events, machine.go
//     the state that all simulated processes have, network.go the links and
//     disk.go the disks.
//   - control*.go contain the control servers of both kinds of fleets. node*.go
//     and instance*.go contain the nodes and instances of Run, connection.go the
//     connections between them.
//   - caller*.go, operator.go and platform.go contain the callers, operators and
//     platform of Run, failover.go the failover of its instances. The files with
//     the same names after lines_ contain those of RunLines, where callers are
//     named clients.
//   - fault_catalog.go and lines_faults.go list the faults.
//   - window*.go implement the equations of the paper on flow control
//     (docs/paper.md) a second time, to check the windows of a whole fleet. admission*.go contain experiments with one server.
//   - digest.go and testdata compare histories with recorded ones.
package simulation
