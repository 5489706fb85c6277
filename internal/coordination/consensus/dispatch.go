package consensus

import (
	"reflect"
	"time"
)

type (
	eventHandler   func(m *Machine, event any, now time.Duration)
	messageHandler func(m *Machine, from string, body any, now time.Duration)
)

var (
	eventHandlers   = map[reflect.Type]eventHandler{}
	messageHandlers = map[reflect.Type]messageHandler{}
)

func handleEvent[T any](handle func(*Machine, T, time.Duration)) {
	eventHandlers[reflect.TypeFor[T]()] = func(m *Machine, event any, now time.Duration) {
		handle(m, event.(T), now)
	}
}

func handleMessage[T any](handle func(*Machine, string, T, time.Duration)) {
	messageHandlers[reflect.TypeFor[T]()] = func(m *Machine, from string, body any, now time.Duration) {
		handle(m, from, body.(T), now)
	}
}

func init() {
	handleEvent((*Machine).onTick)
	handleEvent((*Machine).onReceived)
	handleEvent((*Machine).onPeers)
	handleEvent((*Machine).onSubmit)
	handleEvent((*Machine).onLeave)

	handleMessage((*Machine).onFormCluster)
	handleMessage((*Machine).onFormClusterAck)
	handleMessage((*Machine).onClusterFormed)
	handleMessage((*Machine).onStatusRequest)
	handleMessage((*Machine).onStatus)
	handleMessage((*Machine).onRenewLease)
	handleMessage((*Machine).onRenewLeaseAck)
	handleMessage((*Machine).onPrepare)
	handleMessage((*Machine).onPromise)
	handleMessage((*Machine).onAccept)
	handleMessage((*Machine).onAccepted)
	handleMessage((*Machine).onDecided)
	handleMessage((*Machine).onJoin)
	handleMessage((*Machine).onLeaving)
	handleMessage((*Machine).onReleased)
	handleMessage((*Machine).onReplicate)
	handleMessage((*Machine).onReplicateAck)
	handleMessage((*Machine).onRepairDigests)
	handleMessage((*Machine).onRepairRequest)
	handleMessage((*Machine).onRepairRanges)
	handleMessage((*Machine).onRepairDone)
}

// Messages returns a zero value of each message type, in no particular order.
func Messages() []any {
	var bodies []any
	for messageType := range messageHandlers {
		bodies = append(bodies, reflect.Zero(messageType).Interface())
	}
	return bodies
}

// Step processes one event, which is a Tick, Received, Peers, Submit or Leave. It
// returns the effects to be carried out, in order.
func (m *Machine) Step(event any, now time.Duration) []Effect {
	m.effects = nil
	if handle, ok := eventHandlers[reflect.TypeOf(event)]; ok {
		handle(m, event, now)
	}
	return m.effects
}

func (m *Machine) onReceived(event Received, now time.Duration) {
	m.contacts.received[event.From] = now
	if handle, ok := messageHandlers[reflect.TypeOf(event.Body)]; ok {
		handle(m, event.From, event.Body, now)
	}
}
