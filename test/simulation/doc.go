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
package simulation
