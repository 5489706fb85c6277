package node

import (
	"maps"
	"runtime/metrics"
	"slices"
	"time"
)

// Names of the gauges of every node. A gauge is a value that is read when it is asked
// for, in the answer to the counters call and in the log.
const (
	// gaugeMemory is the memory that the Go runtime has obtained from the system and not
	// returned, in bytes. gaugeHeap is the part of it that objects take, including
	// garbage that was not collected yet.
	gaugeMemory = "memory_bytes"
	gaugeHeap   = "memory_heap_bytes"
	// gaugeLinkQueued is the number of bytes that wait at all connections to other nodes,
	// and gaugeLinkQueuedMax the number at the connection with the longest queue.
	gaugeLinkQueued    = "link_queued_bytes"
	gaugeLinkQueuedMax = "link_queued_bytes_max"
)

// Metrics of the Go runtime.
const (
	metricTotal    = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
	metricObjects  = "/memory/classes/heap/objects:bytes"
)

// resourceLogInterval is how often a node logs its gauges.
const resourceLogInterval = 5 * time.Second

// AddGauge adds a gauge, whose value is read from any goroutine. It must be called before
// Start.
func (n *Node) AddGauge(name string, read func() int64) { n.gauges[name] = read }

func (n *Node) addResourceGauges() {
	n.AddGauge(gaugeMemory, func() int64 { return readMetric(metricTotal) - readMetric(metricReleased) })
	n.AddGauge(gaugeHeap, func() int64 { return readMetric(metricObjects) })
	n.AddGauge(gaugeLinkQueued, n.Hub.QueuedBytes)
	n.AddGauge(gaugeLinkQueuedMax, n.Hub.MaxQueuedBytes)
}

func (n *Node) readGauges() map[string]int64 {
	values := make(map[string]int64, len(n.gauges))
	for name, read := range n.gauges {
		values[name] = read()
	}
	return values
}

func (n *Node) logResources() {
	values := n.readGauges()
	var pairs []any
	for _, name := range slices.Sorted(maps.Keys(values)) {
		pairs = append(pairs, name, values[name])
	}
	n.Log.Info("resources", pairs...)
}

// readMetric returns the value of a metric of the Go runtime that is a number of bytes.
func readMetric(name string) int64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}
