// Package flowcontrol bounds how many statements a node keeps in flight at one
// database instance, from the latencies that the node itself observes.
//
// It follows Gulati and Ahmad, "Towards Distributed Storage Resource Management
// using Flow Control" (VMware): the latencies are smoothed by an exponentially
// weighted moving average, CAL, and once a period a proportional control law
// moves the window w towards the size at which CAL meets a threshold:
//
//	CAL(t) = (1-alpha) l + alpha CAL(t-1)
//	w(t+1) = (1-gamma) w(t) + gamma (LAT_threshold / CAL(t) * w(t) + beta)
//
// Nodes that share an instance so come to windows in proportion to their beta
// without a message between them. docs/paper.md lists what was decided where
// the paper is silent.
//
// A node keeps one Window for each instance. It sends a statement only while
// HasRoom, calls Acquire as it sends it and, once for each, Release with the
// outcome and latency, or Abandon and later ReleaseAbandoned. Tick is called at
// least once a period. PeerCounter counts the nodes that share an instance, to
// bound w_max by a node's share of its connections (Retune).
//
// Windows and slots count statements; latencies and times are durations, the
// latter on the node's monotonic clock. Nothing here is safe for concurrent use.
package flowcontrol
