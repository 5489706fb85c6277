package message

import (
	"encoding/gob"
	"reflect"
	"sync"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/idempotency"
)

// kind is one kind of message. It holds the name under which gob registers the
// message, zero values of the message and of its encoded form, and the conversions
// between the two.
type kind struct {
	name    string
	message any
	encoded any
	encode  func(any) any
	decode  func(any) any
}

// convertedKind returns a kind whose encoded form has other field names than the
// message.
func convertedKind[Message, Encoded any](name string, encode func(Message) Encoded, decode func(Encoded) Message) kind {
	return kind{
		name:    name,
		message: *new(Message),
		encoded: *new(Encoded),
		encode:  func(message any) any { return encode(message.(Message)) },
		decode:  func(sent any) any { return decode(sent.(Encoded)) },
	}
}

// plainKind returns a kind whose messages are sent without conversion.
func plainKind[Message any](name string) kind {
	unchanged := func(message any) any { return message }
	return kind{name: name, message: *new(Message), encoded: *new(Message), encode: unchanged, decode: unchanged}
}

// kinds lists every message. The names are those of the first release. They must
// never change, because two builds run in one cluster while a new version is rolled
// out.
var kinds = []kind{
	convertedKind("tansyseam.example/pooler/coordination/steer.AskNews", encodeUpdateRequest, decodeUpdateRequest),
	convertedKind("tansyseam.example/pooler/coordination/steer.Told", encodeNodeReport, decodeNodeReport),
	convertedKind("tansyseam.example/pooler/coordination/steer.News", encodeUpdate, decodeUpdate),
	convertedKind("tansyseam.example/pooler/coordination/steer.RecordCase", encodeWriterRoleChange, decodeWriterRoleChange),
	convertedKind("tansyseam.example/pooler/coordination/goes.Ask", encodeStatusRequest, decodeStatusRequest),
	convertedKind("tansyseam.example/pooler/coordination/goes.Answer", encodeStatus, decodeStatus),
	convertedKind("tansyseam.example/pooler/coordination/goes.Legacy", encodeHandover, decodeHandover),
	plainKind[idempotency.HandoverAck]("tansyseam.example/pooler/coordination/goes.LegacyTaken"),
	convertedKind("tansyseam.example/pooler/coordination/ballot.Ask", encodeVoteRequest, decodeVoteRequest),
	convertedKind("tansyseam.example/pooler/coordination/ballot.Vote", encodeVote, decodeVote),
	convertedKind("tansyseam.example/pooler/coordination/member.Gossip", encodeGossip, decodeGossip),
	convertedKind("tansyseam.example/pooler/coordination/takeover.Mark", encodeReportBound, decodeReportBound),
	convertedKind("tansyseam.example/pooler/coordination/epoch.Form", encodeFormCluster, decodeFormCluster),
	plainKind[consensus.FormClusterAck]("tansyseam.example/pooler/coordination/epoch.FormAck"),
	plainKind[consensus.ClusterFormed]("tansyseam.example/pooler/coordination/epoch.Formed"),
	plainKind[consensus.StatusRequest]("tansyseam.example/pooler/coordination/epoch.AskStanding"),
	plainKind[consensus.Status]("tansyseam.example/pooler/coordination/epoch.Standing"),
	plainKind[consensus.Join]("tansyseam.example/pooler/coordination/epoch.Join"),
	plainKind[consensus.Leaving]("tansyseam.example/pooler/coordination/epoch.Leaving"),
	plainKind[consensus.Released]("tansyseam.example/pooler/coordination/epoch.Released"),
	convertedKind("tansyseam.example/pooler/coordination/epoch.Renew", encodeRenewLease, decodeRenewLease),
	convertedKind("tansyseam.example/pooler/coordination/epoch.RenewAck", encodeRenewLeaseAck, decodeRenewLeaseAck),
	convertedKind("tansyseam.example/pooler/coordination/epoch.Prepare", encodePrepare, decodePrepare),
	convertedKind("tansyseam.example/pooler/coordination/epoch.Promised", encodePromise, decodePromise),
	plainKind[consensus.Accept]("tansyseam.example/pooler/coordination/epoch.Accept"),
	plainKind[consensus.Accepted]("tansyseam.example/pooler/coordination/epoch.Accepted"),
	plainKind[consensus.Decided]("tansyseam.example/pooler/coordination/epoch.Decided"),
	convertedKind("tansyseam.example/pooler/coordination/epoch.Write", encodeReplicate, decodeReplicate),
	convertedKind("tansyseam.example/pooler/coordination/epoch.WriteAck", encodeReplicateAck, decodeReplicateAck),
	convertedKind("tansyseam.example/pooler/coordination/epoch.Offer", encodeRepairDigests, decodeRepairDigests),
	convertedKind("tansyseam.example/pooler/coordination/epoch.Want", encodeRepairRequest, decodeRepairRequest),
	convertedKind("tansyseam.example/pooler/coordination/epoch.Fill", encodeRepairRanges, decodeRepairRanges),
	convertedKind("tansyseam.example/pooler/coordination/epoch.Filled", encodeRepairDone, decodeRepairDone),
	convertedKind("tansyseam.example/pooler/protocol/msg.PassNews", encodeForwardUpdateRequest, decodeForwardUpdateRequest),
	plainKind[OperatorCall]("tansyseam.example/pooler/protocol/msg.Operate"),
	convertedKind("tansyseam.example/pooler/protocol/msg.Operated", encodeOperatorCallResult, decodeOperatorCallResult),
	plainKind[EvidenceRequest]("tansyseam.example/pooler/protocol/msg.AskCase"),
	convertedKind("tansyseam.example/pooler/protocol/msg.CaseAnswer", encodeEvidenceResponse, decodeEvidenceResponse),
	convertedKind("tansyseam.example/pooler/protocol/msg.Recorded", encodeRecordResult, decodeRecordResult),
	plainKind[QueryRequest]("tansyseam.example/pooler/protocol/msg.Query"),
	plainKind[QueryResponse]("tansyseam.example/pooler/protocol/msg.QueryAnswer"),
	convertedKind("tansyseam.example/pooler/protocol/msg.Announce", encodeInstanceAnnouncement, decodeInstanceAnnouncement),
	convertedKind("tansyseam.example/pooler/protocol/msg.Announced", encodeAnnouncementResult, decodeAnnouncementResult),
	plainKind[EpochChanged]("tansyseam.example/pooler/protocol/msg.Turned"),
}

var (
	kindsByMessage = indexBy(func(k kind) any { return k.message })
	kindsByEncoded = indexBy(func(k kind) any { return k.encoded })
)

func indexBy(zeroValue func(kind) any) map[reflect.Type]kind {
	index := make(map[reflect.Type]kind, len(kinds))
	for _, kind := range kinds {
		index[reflect.TypeOf(zeroValue(kind))] = kind
	}
	return index
}

// Encode returns the encoded form in which a message is sent. It returns a value of
// an unregistered type unchanged.
func Encode(message any) any {
	if kind, ok := kindsByMessage[reflect.TypeOf(message)]; ok {
		return kind.encode(message)
	}
	return message
}

// Decode returns the message for a received encoded form. It returns a value of an
// unregistered type unchanged.
func Decode(sent any) any {
	if kind, ok := kindsByEncoded[reflect.TypeOf(sent)]; ok {
		return kind.decode(sent)
	}
	return sent
}

// All returns a zero value of each message.
func All() []any {
	messages := make([]any, 0, len(kinds))
	for _, kind := range kinds {
		messages = append(messages, kind.message)
	}
	return messages
}

// Names returns the names under which the messages are sent, in the order of All.
func Names() []string {
	names := make([]string, 0, len(kinds))
	for _, kind := range kinds {
		names = append(names, kind.name)
	}
	return names
}

// Register registers all messages with gob. It must be called before the first
// message is sent or received.
var Register = sync.OnceFunc(func() {
	for _, kind := range kinds {
		gob.RegisterName(kind.name, kind.encoded)
	}
})

// IsBulk reports whether a message may be large and is sent to many nodes. Such a message is
// encoded without the buffers of its connection.
func IsBulk(body any) bool {
	update, ok := body.(distribution.Update)
	return ok && update.Snapshot != nil
}
