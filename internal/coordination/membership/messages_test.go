package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
)

// proxyNodes returns the entries of count proxies, all with the given heartbeat.
func proxyNodes(count int, heartbeat uint64) []model.Node {
	var nodes []model.Node
	for number := range count {
		nodes = append(nodes, model.Node{
			Name: fmt.Sprintf("proxy-%04d", number), Kind: model.KindProxy, RPCAddress: fmt.Sprintf("10.0.%d.%d:7000", number/250, number%250+1),
			Incarnation: int64(number) + 1, Version: 1, Weight: 1, Heartbeat: heartbeat,
		})
	}
	return nodes
}

func TestMessagesOfOneHeartbeat(t *testing.T) {
	const heartbeats = 8
	Convey("The number of messages per heartbeat is bounded by the number of watchers per node and occasional seed contacts, whatever the number of nodes", t, func() {
		for _, count := range []int{30, 120} {
			nodes := proxyNodes(count, 0)
			machine := New(nodes[0], []string{nodes[1].RPCAddress, nodes[2].RPCAddress, nodes[3].RPCAddress}, DefaultTiming())
			now, sent := time.Hour, 0
			for heartbeat := uint64(1); heartbeat <= heartbeats; heartbeat++ {
				now += DefaultTiming().HeartbeatInterval
				others := proxyNodes(count, heartbeat)[1:]
				machine.Step(GossipReceived{Gossip: Gossip{From: others[0], Nodes: others, Reply: true}}, now)
				sent += len(machine.Step(Tick{}, now))
			}
			So(sent, ShouldBeBetweenOrEqual, heartbeats, heartbeats*3*WatchersPerNode)
		}
	})
}
