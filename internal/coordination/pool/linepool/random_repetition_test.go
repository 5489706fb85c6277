package linepool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/lineproto"
)

const (
	// repeatedShare is the share of answers that servers send twice.
	repeatedShare = 0.3
	// maxRepetitionDelay bounds the time between the two.
	maxRepetitionDelay = 60 * time.Millisecond
)

// repetition is an answer that a server sends again at a later time.
type repetition struct {
	server   *simulatedServer
	messages []lineproto.Message
	due      time.Duration
}

// sendInParts puts an answer on its way to the machine, and may plan to send it again.
func (s *simulation) sendInParts(server *simulatedServer, messages []lineproto.Message) {
	server.outbox = append(server.outbox, messages...)
	if s.chance(repeatedShare) {
		due := s.now + time.Duration(s.random.Int64N(int64(maxRepetitionDelay)))
		s.repetitions = append(s.repetitions, repetition{server: server, messages: messages, due: due})
	}
}

// repeatDue puts the repeated answers that are due on their way.
func (s *simulation) repeatDue() {
	s.repetitions = slices.DeleteFunc(s.repetitions, func(repeated repetition) bool {
		if s.now < repeated.due {
			return false
		}
		repeated.server.outbox = append(repeated.server.outbox, repeated.messages...)
		return true
	})
}

// deliver has the next message of a random server arrive.
func (s *simulation) deliver() {
	var sending []*simulatedServer
	for _, server := range s.servers {
		if len(server.outbox) > 0 {
			sending = append(sending, server)
		}
	}
	if len(sending) == 0 {
		return
	}
	server := pick(s, sending...)
	message := server.outbox[0]
	server.outbox = server.outbox[1:]
	s.Received(server.conn, message, s.now)
	s.sync()
}

// stepWithRepetitions runs one random event. A few messages arrive before and after it.
func (s *simulation) stepWithRepetitions() {
	s.repeatDue()
	for range s.random.IntN(4) {
		s.deliver()
	}
	s.step()
}

// settleWithRepetitions ends all faults, lets every query be answered, and lets all
// messages arrive.
func (s *simulation) settleWithRepetitions() {
	s.repeatsAnswers = false
	for len(s.repetitions) > 0 {
		s.advance(5 * time.Millisecond)
		s.repeatDue()
	}
	for {
		sending := slices.IndexFunc(s.servers, func(server *simulatedServer) bool { return len(server.outbox) > 0 })
		if sending < 0 || s.violation != "" {
			break
		}
		s.deliver()
	}
	s.settle()
	if s.violation == "" {
		s.violation = s.unfinished()
	}
}

func TestRandomRepeatedAnswers(t *testing.T) {
	// Guards against repeated answers that are taken for the answers to other statements
	// (MIXED, REFUSED, PINNED, UNASKED).
	const steps, seeds = 2500, 60
	Convey("If servers send answers twice, each query is answered once, and with its own answer", t, func() {
		answered := 0
		for seed := range uint64(seeds) {
			s := newSimulation(seed)
			s.repeatsAnswers, s.servesPositions = true, seed%2 == 0
			for range steps {
				s.stepWithRepetitions()
				if s.violation != "" {
					break
				}
			}
			if s.violation == "" {
				s.settleWithRepetitions()
			}
			SoMsg(fmt.Sprintf("seed %d", seed), s.violation, ShouldEqual, "")
			answered += s.answered
		}
		So(answered, ShouldBeGreaterThan, 10000)
	})
}
