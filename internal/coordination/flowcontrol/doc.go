// Package flowcontrol limits the number of statements that a node keeps in flight
// at one database instance. The limit follows the latencies that the node itself
// observes.
//
// The algorithm is that of Gulati and Ahmad, "Towards Distributed Storage
// Resource Management using Flow Control" (VMware). An exponentially weighted
// moving average, CAL, smooths the latencies. Once per period, a proportional
// control law moves the window w towards the size at which CAL equals a threshold:
//
//	CAL(t) = (1-alpha) l + alpha CAL(t-1)
//	w(t+1) = (1-gamma) w(t) + gamma (LAT_threshold / CAL(t) * w(t) + beta)
//
// The windows of the nodes that share an instance thereby converge in proportion
// to their beta, without any messages between the nodes. docs/paper.md lists the
// decisions on points that the paper leaves open.
//
// A node keeps one Window per instance. It sends a statement only while HasRoom
// returns true, and calls Acquire when it sends the statement. Each Acquire is
// followed by one Release with the outcome and the latency, or by one Abandon and
// a later ReleaseAbandoned. Tick must be called at least once per period.
// PeerCounter counts the nodes that share an instance, so that Retune can limit
// w_max to the node's share of the instance's connections.
//
// Windows and slots are numbers of statements. Latencies and times are durations;
// times are offsets on the node's monotonic clock. The types of this package are
// not safe for concurrent use.
package flowcontrol
