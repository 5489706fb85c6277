package message

import (
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/state/encoded"
	"tansyseam/internal/state/model"
)

// The encoded field names are those of the first release and must never change; see
// package encoded.

// encodedGossip is the encoded form of membership.Gossip.
type encodedGossip struct {
	From       encoded.Node
	Nodes      []encoded.Node
	Suspicions []encodedSuspicion
	IsReply    bool
	IsWatch    bool
	Digest     uint64
	Digests    []uint64
	Want       []int
}

func encodeGossip(m membership.Gossip) encodedGossip {
	return encodedGossip{
		From:       m.From.Encoded(),
		Nodes:      encoded.Slice(m.Nodes, model.Node.Encoded),
		Suspicions: encoded.Slice(m.Suspicions, encodeSuspicion),
		IsReply:    m.Reply,
		IsWatch:    m.Subscribe,
		Digest:     m.Digest,
		Digests:    m.RangeDigests,
		Want:       m.WantRanges,
	}
}

func decodeGossip(e encodedGossip) membership.Gossip {
	return membership.Gossip{
		From:         model.NodeFrom(e.From),
		Nodes:        encoded.Slice(e.Nodes, model.NodeFrom),
		Suspicions:   encoded.Slice(e.Suspicions, decodeSuspicion),
		Reply:        e.IsReply,
		Subscribe:    e.IsWatch,
		Digest:       e.Digest,
		RangeDigests: e.Digests,
		WantRanges:   e.Want,
	}
}

// encodedSuspicion is the encoded form of membership.Suspicion.
type encodedSuspicion struct {
	Node string
	By   string
	Beat uint64
	Born int64
}

func encodeSuspicion(m membership.Suspicion) encodedSuspicion {
	return encodedSuspicion{
		Node: m.Node,
		By:   m.Reporter,
		Beat: m.Heartbeat,
		Born: m.Incarnation,
	}
}

func decodeSuspicion(e encodedSuspicion) membership.Suspicion {
	return membership.Suspicion{
		Node:        e.Node,
		Reporter:    e.By,
		Heartbeat:   e.Beat,
		Incarnation: e.Born,
	}
}
