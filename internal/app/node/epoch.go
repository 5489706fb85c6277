package node

import (
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
)

func (n *Node) onEpochChanged(_ string, changed message.EpochChanged, _ func(any)) {
	n.ObserveEpoch(changed.Record)
}

// ObserveEpoch stores an epoch record if it is newer than the stored one. If the
// record names another primary, the update requests in flight are abandoned.
func (n *Node) ObserveEpoch(record consensus.Record) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if record.Epoch <= n.epochRecord.Epoch {
		return
	}
	if record.Primary != n.epochRecord.Primary {
		close(n.primaryChanged)
		n.primaryChanged = make(chan struct{})
	}
	n.epochRecord = record
}

// primaryChange returns a channel that is closed when the node stores an epoch
// record with another primary.
func (n *Node) primaryChange() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.primaryChanged
}

// EpochRecord returns the newest epoch record that the node has received.
func (n *Node) EpochRecord() consensus.Record {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.epochRecord
}

// ControlPrimary returns the RPC address of the control primary, or "" if the
// address is unknown. It also returns the control nodes that can be asked for the
// primary: the live ones, or the dead ones if none is live.
func (n *Node) ControlPrimary() (string, []model.Node) {
	record := n.EpochRecord()
	nodes := n.Nodes(model.KindControl, membership.StatusLive)
	if len(nodes) == 0 {
		nodes = n.Nodes(model.KindControl, membership.StatusDead)
	}
	for _, node := range nodes {
		if node.Name == record.Primary {
			return node.RPCAddress, nodes
		}
	}
	return "", nodes
}

// SendToControlPrimary sends a message to the control primary, or drops the message
// if the primary's address is unknown.
func (n *Node) SendToControlPrimary(message any) {
	if address, _ := n.ControlPrimary(); address != "" {
		n.Hub.Send(address, message)
	}
}
