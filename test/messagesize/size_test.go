// Package messagesize checks bounds on the encoded size of data that grows with the
// fleet: the messages between nodes and the state file of a control node. The bounds
// are on bytes only, never on time.
package messagesize

import (
	"bytes"
	"encoding/gob"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/protocol/message"
	"tansyseam/internal/transport/rpc"
)

// encodedSize returns the number of bytes of a message on a connection that has already
// carried a message of the same type, so that gob does not send the type again.
func encodedSize(body any) int {
	message.Register()
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	envelope := rpc.Envelope{From: "from", Version: rpc.ProtocolVersion, Body: message.Encode(body)}
	So(encoder.Encode(&envelope), ShouldBeNil)
	stream.Reset()
	So(encoder.Encode(&envelope), ShouldBeNil)
	So(stream.Len(), ShouldBeGreaterThan, 0)
	return stream.Len()
}

func TestBytesPerUnit(t *testing.T) {
	bounds := []struct {
		name         string
		size         func(count int) int
		small, large int
		maxPerUnit   int
	}{
		{"gossip for each restarted node", restartGossipSize, 30, 60, 110},
		{"a node's complete request for each instance", requestSize, 30, 300, 120},
		{"an update for each database", updateSize, 10, 100, 260},
		{"the state file for each database", stateFileSize, 10, 100, 800},
		{"a line node's complete request for each database", lineRequestSize, 10, 100, 120},
		{"an update with two manifests for each database", manifestUpdateSize, 10, 100, 300},
		{"an update with the list of instances for each instance", instanceListSize, 30, 300, 120},
	}
	for _, bound := range bounds {
		Convey("The size of "+bound.name+" is bounded", t, func() {
			added := bound.size(bound.large) - bound.size(bound.small)
			So(added/(bound.large-bound.small), ShouldBeBetween, 0, bound.maxPerUnit)
		})
	}
}

// maxIdleDifference is the maximum difference, in bytes, between the messages of two
// idle fleets.
const maxIdleDifference = 60

func TestGossipAtRest(t *testing.T) {
	Convey("The heartbeat of an idle fleet and its reply carry no other node, so their size does not grow with the fleet", t, func() {
		for _, size := range []func(int) int{idleHeartbeatSize, idleReplySize} {
			So(size(120)-size(30), ShouldBeBetween, -maxIdleDifference, maxIdleDifference)
		}
	})
}
