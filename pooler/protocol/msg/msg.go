// Package msg names the messages between the fleet's processes.
package msg

import (
	"encoding/gob"
	"sync"

	"tansyseam.example/pooler/coordination/ballot"
	"tansyseam.example/pooler/coordination/epoch"
	"tansyseam.example/pooler/coordination/failover"
	"tansyseam.example/pooler/coordination/goes"
	"tansyseam.example/pooler/coordination/member"
	"tansyseam.example/pooler/coordination/steer"
	"tansyseam.example/pooler/coordination/takeover"
	"tansyseam.example/pooler/state/view"
)

// PassNews asks a watched peer to pass an ask on to the primary.
type PassNews struct{ Ask steer.AskNews }

// Operate passes an operator's checked call on to the control primary.
type Operate struct {
	Path string
	Body []byte
}

// Operated is its answer.
type Operated struct {
	Status int
	Body   []byte
	// IsElsewhere says that this machine is not primary; Primary is whom it
	// holds to be.
	IsElsewhere bool
	Primary     string
}

// AskCase asks the primary for the databases, and for the case of one.
type AskCase struct{ Database string }

// Announce passes a synced instance's announcement on to the control primary.
type Announce struct{ Instance view.Instance }

// Announced is its answer; Door is where later announcements had best go.
type Announced struct {
	IsTaken bool
	Door    string
}

// CaseAnswer gives it.
type CaseAnswer struct {
	IsPrimary bool
	Databases []string
	Case      failover.Case
	// Synced are those of the databases whose instances judge themselves when
	// a commit is safe; Takeover is the case of one of them.
	Synced   []string
	Takeover takeover.Case
}

// Recorded answers a RecordCase.
type Recorded struct{ IsKept bool }

// Turned tells a data-plane node of another control primary.
type Turned struct{ Record epoch.Record }

// Query asks a node for its part of the fleet view, as JSON.
type Query struct{ What string }

// QueryAnswer gives it.
type QueryAnswer struct{ Body []byte }

var once sync.Once

// Bodies lists one of each message.
func Bodies() []any {
	own := []any{
		steer.AskNews{}, steer.Told{}, steer.News{}, PassNews{}, Operate{}, Operated{}, AskCase{}, CaseAnswer{}, steer.RecordCase{},
		Recorded{}, goes.Ask{}, goes.Answer{}, goes.Legacy{}, goes.LegacyTaken{}, Query{}, QueryAnswer{}, ballot.Ask{}, ballot.Vote{}, member.Gossip{},
		Announce{}, Announced{}, takeover.Mark{}, Turned{},
	}
	return append(own, epoch.Messages()...)
}

// Register makes all messages known to the codec.
func Register() {
	once.Do(func() {
		for _, body := range Bodies() {
			gob.Register(body)
		}
	})
}
