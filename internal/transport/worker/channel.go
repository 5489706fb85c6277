package worker

import "time"

// Await waits until a value arrives on a channel or the channel is closed. It returns
// false if neither happens within timeout.
func Await[T any](done <-chan T, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	_, ok := Receive(done, timer.C)
	return ok
}

// Receive receives a value. It returns false if the channel cancel is closed or
// delivers a value first.
func Receive[T, U any](values <-chan T, cancel <-chan U) (T, bool) {
	select {
	case value := <-values:
		return value, true
	case <-cancel:
		var zero T
		return zero, false
	}
}

// ReceiveWithin receives a value. It returns false if no value arrives within timeout
// or before the group stops.
func ReceiveWithin[T any](group *Group, values <-chan T, timeout time.Duration) (T, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var zero T
	select {
	case value := <-values:
		return value, true
	case <-timer.C:
		return zero, false
	case <-group.stopping:
		return zero, false
	}
}

// TryReceive receives a value without blocking. It returns false if no value is ready.
func TryReceive[T any](values <-chan T) (T, bool) {
	select {
	case value := <-values:
		return value, true
	default:
		var zero T
		return zero, false
	}
}

// TrySend sends a value without blocking. It returns false if the channel has no room.
func TrySend[T any](values chan<- T, value T) bool {
	select {
	case values <- value:
		return true
	default:
		return false
	}
}
