package modelcheck

import (
	"fmt"
	"slices"
	"time"
)

// traceStep is the last event before a state. It links to the event before it.
type traceStep struct {
	previous *traceStep
	at       time.Duration
	host     string
	message  *message
	action   string
}

// lines returns descriptions of the events in the order in which they happened.
func (s *traceStep) lines() []string {
	var lines []string
	for step := s; step != nil; step = step.previous {
		lines = append(lines, step.String())
	}
	slices.Reverse(lines)
	return lines
}

func (s *traceStep) String() string {
	text := fmt.Sprintf("%v ", s.at-startTime)
	if s.host != "" {
		text += s.host + " "
	}
	if s.message != nil {
		text += fmt.Sprintf("%T from %s to %s ", s.message.body, s.message.from, s.message.to)
	}
	return text + s.action
}
