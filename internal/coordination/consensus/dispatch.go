package consensus

import (
	"reflect"
	"time"
)

// act carries out one type of event, hear one type of message.
type act func(m *Machine, event any, now time.Duration)

type hear func(m *Machine, from string, body any, now time.Duration)

var (
	steps   map[reflect.Type]act
	hearers map[reflect.Type]hear
)

func kindOf(value any) reflect.Type { return reflect.TypeOf(value) }

func on[T any](step func(*Machine, T, time.Duration)) (reflect.Type, act) {
	return reflect.TypeFor[T](), func(m *Machine, event any, now time.Duration) { step(m, event.(T), now) }
}

func heard[T any](step func(*Machine, string, T, time.Duration)) (reflect.Type, hear) {
	return reflect.TypeFor[T](), func(m *Machine, from string, body any, now time.Duration) { step(m, from, body.(T), now) }
}

func init() {
	steps = map[reflect.Type]act{}
	hearers = map[reflect.Type]hear{}
	addStep := func(kind reflect.Type, step act) { steps[kind] = step }
	addHear := func(kind reflect.Type, step hear) { hearers[kind] = step }
	addStep(on((*Machine).onTick))
	addStep(on((*Machine).onHeard))
	addStep(on((*Machine).onPeers))
	addStep(on((*Machine).onSubmit))
	addStep(on((*Machine).onLeave))
	addHear(heard((*Machine).onForm))
	addHear(heard((*Machine).onFormAck))
	addHear(heard((*Machine).onFormed))
	addHear(heard((*Machine).onAskStanding))
	addHear(heard((*Machine).onStanding))
	addHear(heard((*Machine).onRenew))
	addHear(heard((*Machine).onRenewAck))
	addHear(heard((*Machine).onPrepare))
	addHear(heard((*Machine).onPromised))
	addHear(heard((*Machine).onAccept))
	addHear(heard((*Machine).onAccepted))
	addHear(heard((*Machine).onDecided))
	addHear(heard((*Machine).onJoin))
	addHear(heard((*Machine).onLeaving))
	addHear(heard((*Machine).onReleased))
	addHear(heard((*Machine).onWrite))
	addHear(heard((*Machine).onWriteAck))
	addHear(heard((*Machine).onOffer))
	addHear(heard((*Machine).onWant))
	addHear(heard((*Machine).onFill))
	addHear(heard((*Machine).onFilled))
}

// Owns says whether a message belongs to this machine.
func Owns(body any) bool {
	_, isOurs := hearers[kindOf(body)]
	return isOurs
}

// Messages lists one of each message type, for the codec.
func Messages() []any {
	var bodies []any
	for kind := range hearers {
		bodies = append(bodies, reflect.Zero(kind).Interface())
	}
	return bodies
}

func (m *Machine) onHeard(event Heard, now time.Duration) {
	m.heardFrom[event.From] = now
	if step, isKnown := hearers[kindOf(event.Body)]; isKnown {
		step(m, event.From, event.Body, now)
	}
}

// Step takes one event and gives what is to be done, in order.
func (m *Machine) Step(event any, now time.Duration) []Effect {
	m.effects = nil
	if act, isKnown := steps[kindOf(event)]; isKnown {
		act(m, event, now)
	}
	return m.effects
}
