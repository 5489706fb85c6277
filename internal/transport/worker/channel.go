package worker

import "time"

// Await receives from a channel. It returns false if nothing came within
// timeout.
func Await[T any](done <-chan T, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	_, ok := Receive(done, timer.C)
	return ok
}

// Receive receives a value. It returns false if the channel cancel is ready
// first.
func Receive[T, U any](values <-chan T, cancel <-chan U) (T, bool) {
	select {
	case value := <-values:
		return value, true
	case <-cancel:
		var zero T
		return zero, false
	}
}

// ReceiveWithin receives a value. It returns false if none came within timeout, or
// before the group is to stop.
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

// TryReceive receives a value if one is ready at once.
func TryReceive[T any](values <-chan T) (T, bool) {
	select {
	case value := <-values:
		return value, true
	default:
		var zero T
		return zero, false
	}
}

// TrySend sends a value if the channel has room at once.
func TrySend[T any](values chan<- T, value T) bool {
	select {
	case values <- value:
		return true
	default:
		return false
	}
}
