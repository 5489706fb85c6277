package consensus

import (
	"reflect"
	"time"
)

// act carries out one type of event, hear one type of message.
type eventHandler func(m *Machine, event any, now time.Duration)

type messageHandler func(m *Machine, from string, body any, now time.Duration)

var (
	eventHandlers   map[reflect.Type]eventHandler
	messageHandlers map[reflect.Type]messageHandler
)

func typeOf(value any) reflect.Type { return reflect.TypeOf(value) }

func forEvent[T any](step func(*Machine, T, time.Duration)) (reflect.Type, eventHandler) {
	return reflect.TypeFor[T](), func(m *Machine, event any, now time.Duration) { step(m, event.(T), now) }
}

func forMessage[T any](step func(*Machine, string, T, time.Duration)) (reflect.Type, messageHandler) {
	return reflect.TypeFor[T](), func(m *Machine, from string, body any, now time.Duration) { step(m, from, body.(T), now) }
}

func init() {
	eventHandlers = map[reflect.Type]eventHandler{}
	messageHandlers = map[reflect.Type]messageHandler{}
	addStep := func(kind reflect.Type, step eventHandler) { eventHandlers[kind] = step }
	addHear := func(kind reflect.Type, step messageHandler) { messageHandlers[kind] = step }
	addStep(forEvent((*Machine).onTick))
	addStep(forEvent((*Machine).onReceived))
	addStep(forEvent((*Machine).onPeers))
	addStep(forEvent((*Machine).onSubmit))
	addStep(forEvent((*Machine).onLeave))
	addHear(forMessage((*Machine).onFormCluster))
	addHear(forMessage((*Machine).onFormClusterAck))
	addHear(forMessage((*Machine).onClusterFormed))
	addHear(forMessage((*Machine).onStatusRequest))
	addHear(forMessage((*Machine).onStatus))
	addHear(forMessage((*Machine).onRenewLease))
	addHear(forMessage((*Machine).onRenewLeaseAck))
	addHear(forMessage((*Machine).onPrepare))
	addHear(forMessage((*Machine).onPromise))
	addHear(forMessage((*Machine).onAccept))
	addHear(forMessage((*Machine).onAccepted))
	addHear(forMessage((*Machine).onDecided))
	addHear(forMessage((*Machine).onJoin))
	addHear(forMessage((*Machine).onLeaving))
	addHear(forMessage((*Machine).onReleased))
	addHear(forMessage((*Machine).onReplicate))
	addHear(forMessage((*Machine).onReplicateAck))
	addHear(forMessage((*Machine).onRepairDigests))
	addHear(forMessage((*Machine).onRepairRequest))
	addHear(forMessage((*Machine).onRepairRanges))
	addHear(forMessage((*Machine).onRepairDone))
}

// Owns says whether a message belongs to this machine.
func Handles(body any) bool {
	_, isOurs := messageHandlers[typeOf(body)]
	return isOurs
}

// Messages lists one of each message type, for the codec.
func Messages() []any {
	var bodies []any
	for kind := range messageHandlers {
		bodies = append(bodies, reflect.Zero(kind).Interface())
	}
	return bodies
}

func (m *Machine) onReceived(event Received, now time.Duration) {
	m.lastReceived[event.From] = now
	if step, isKnown := messageHandlers[typeOf(event.Body)]; isKnown {
		step(m, event.From, event.Body, now)
	}
}

// Step takes one event and gives what is to be done, in order.
func (m *Machine) Step(event any, now time.Duration) []Effect {
	m.effects = nil
	if act, isKnown := eventHandlers[typeOf(event)]; isKnown {
		act(m, event, now)
	}
	return m.effects
}
