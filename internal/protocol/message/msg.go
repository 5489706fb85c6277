// Package message names the messages between the fleet's processes.
package message

import (
	"encoding/gob"
	"sync"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/coordination/idempotency"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/coordination/proposal"
	"tansyseam/internal/state/model"
)

// PassNews asks a watched peer to pass an ask on to the primary.
type PassNews struct{ Ask distribution.AskNews }

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
type Announce struct{ Instance model.Instance }

// Announced is its answer; Door is where later announcements had best go.
type Announced struct {
	IsTaken bool
	Door    string
}

// CaseAnswer gives it.
type CaseAnswer struct {
	IsPrimary bool
	Databases []string
	Case      asyncrepl.Case
	// Synced are those of the databases whose instances judge themselves when
	// a commit is safe; Takeover is the case of one of them.
	Synced   []string
	Takeover syncrepl.Case
}

// Recorded answers a RecordCase.
type Recorded struct{ IsKept bool }

// Turned tells a data-plane node of another control primary.
type Turned struct{ Record consensus.Record }

// Query asks a node for its part of the fleet view, as JSON.
type Query struct{ What string }

// QueryAnswer gives it.
type QueryAnswer struct{ Body []byte }

// messages lists one of each message with the name under which it is sent,
// which is that of the first release: two builds share a fleet.
var messages = []struct {
	name string
	body any
}{
	{"tansyseam.example/pooler/coordination/steer.AskNews", distribution.AskNews{}},
	{"tansyseam.example/pooler/coordination/steer.Told", distribution.Told{}},
	{"tansyseam.example/pooler/coordination/steer.News", distribution.News{}},
	{"tansyseam.example/pooler/coordination/steer.RecordCase", distribution.RecordCase{}},
	{"tansyseam.example/pooler/coordination/goes.Ask", idempotency.Ask{}},
	{"tansyseam.example/pooler/coordination/goes.Answer", idempotency.Answer{}},
	{"tansyseam.example/pooler/coordination/goes.Legacy", idempotency.Legacy{}},
	{"tansyseam.example/pooler/coordination/goes.LegacyTaken", idempotency.LegacyTaken{}},
	{"tansyseam.example/pooler/coordination/ballot.Ask", proposal.Ask{}},
	{"tansyseam.example/pooler/coordination/ballot.Vote", proposal.Vote{}},
	{"tansyseam.example/pooler/coordination/member.Gossip", membership.Gossip{}},
	{"tansyseam.example/pooler/coordination/takeover.Mark", syncrepl.Mark{}},
	{"tansyseam.example/pooler/coordination/epoch.Form", consensus.Form{}},
	{"tansyseam.example/pooler/coordination/epoch.FormAck", consensus.FormAck{}},
	{"tansyseam.example/pooler/coordination/epoch.Formed", consensus.Formed{}},
	{"tansyseam.example/pooler/coordination/epoch.AskStanding", consensus.AskStanding{}},
	{"tansyseam.example/pooler/coordination/epoch.Standing", consensus.Standing{}},
	{"tansyseam.example/pooler/coordination/epoch.Join", consensus.Join{}},
	{"tansyseam.example/pooler/coordination/epoch.Leaving", consensus.Leaving{}},
	{"tansyseam.example/pooler/coordination/epoch.Released", consensus.Released{}},
	{"tansyseam.example/pooler/coordination/epoch.Renew", consensus.Renew{}},
	{"tansyseam.example/pooler/coordination/epoch.RenewAck", consensus.RenewAck{}},
	{"tansyseam.example/pooler/coordination/epoch.Prepare", consensus.Prepare{}},
	{"tansyseam.example/pooler/coordination/epoch.Promised", consensus.Promised{}},
	{"tansyseam.example/pooler/coordination/epoch.Accept", consensus.Accept{}},
	{"tansyseam.example/pooler/coordination/epoch.Accepted", consensus.Accepted{}},
	{"tansyseam.example/pooler/coordination/epoch.Decided", consensus.Decided{}},
	{"tansyseam.example/pooler/coordination/epoch.Write", consensus.Write{}},
	{"tansyseam.example/pooler/coordination/epoch.WriteAck", consensus.WriteAck{}},
	{"tansyseam.example/pooler/coordination/epoch.Offer", consensus.Offer{}},
	{"tansyseam.example/pooler/coordination/epoch.Want", consensus.Want{}},
	{"tansyseam.example/pooler/coordination/epoch.Fill", consensus.Fill{}},
	{"tansyseam.example/pooler/coordination/epoch.Filled", consensus.Filled{}},
	{"tansyseam.example/pooler/protocol/msg.PassNews", PassNews{}},
	{"tansyseam.example/pooler/protocol/msg.Operate", Operate{}},
	{"tansyseam.example/pooler/protocol/msg.Operated", Operated{}},
	{"tansyseam.example/pooler/protocol/msg.AskCase", AskCase{}},
	{"tansyseam.example/pooler/protocol/msg.CaseAnswer", CaseAnswer{}},
	{"tansyseam.example/pooler/protocol/msg.Recorded", Recorded{}},
	{"tansyseam.example/pooler/protocol/msg.Query", Query{}},
	{"tansyseam.example/pooler/protocol/msg.QueryAnswer", QueryAnswer{}},
	{"tansyseam.example/pooler/protocol/msg.Announce", Announce{}},
	{"tansyseam.example/pooler/protocol/msg.Announced", Announced{}},
	{"tansyseam.example/pooler/protocol/msg.Turned", Turned{}},
}

var once sync.Once

// Bodies lists one of each message.
func Bodies() []any {
	var bodies []any
	for _, message := range messages {
		bodies = append(bodies, message.body)
	}
	return bodies
}

// Names gives the name under which each of Bodies is sent.
func Names() []string {
	var names []string
	for _, message := range messages {
		names = append(names, message.name)
	}
	return names
}

// Register makes all messages known to the codec.
func Register() {
	once.Do(func() {
		for _, message := range messages {
			gob.RegisterName(message.name, message.body)
		}
	})
}
