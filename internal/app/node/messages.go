package node

import "reflect"

// MessageHandler handles the messages of one type. It may call reply at any time
// or never.
type MessageHandler func(from string, body any, reply func(any))

// HandleMessage sets the handler for messages of type T.
func HandleMessage[T any](n *Node, handle func(from string, body T, reply func(any))) {
	n.messageHandlers[reflect.TypeFor[T]()] = func(from string, body any, reply func(any)) { handle(from, body.(T), reply) }
}

// HandleMessages sets one handler for the types of all examples.
func (n *Node) HandleMessages(examples []any, handle MessageHandler) {
	for _, example := range examples {
		n.messageHandlers[reflect.TypeOf(example)] = handle
	}
}

func (n *Node) dispatchMessage(from string, body any, reply func(any)) {
	if n.stopped.Load() {
		return
	}
	handle, found := n.messageHandlers[reflect.TypeOf(body)]
	if !found {
		n.Counters.Add("link_unknown_message", 1)
		return
	}
	handle(from, body, reply)
}
