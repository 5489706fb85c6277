package control

import (
	"time"

	"tansyseam/internal/app/config"
	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/state/model"
)

// Adapters connect the control plane to synchronously replicated instances and
// to their platform. A field that is not set is not called.
type Adapters struct {
	SendCommand func(Command) CommandReply
	Promote     Promoter
}

// Command is an admin command to an instance.
type Command struct {
	Address  string
	Database string
	Instance string
	// Name is one of the admin commands of package lineproto.
	Name string
	// Term is given with a command to step down: the term that is to end.
	Term uint64
	// Timeout bounds the wait for the reply.
	Timeout time.Duration
}

// CommandReply is an instance's reply to a command.
type CommandReply struct {
	Role     string
	Term     uint64
	Position model.Position
	// Busy says that the instance lives and gave no status.
	Busy bool
	// Gone says that no instance of that name is at the address.
	Gone bool
	// Err says that there was no reply.
	Err error
}

// Promoter makes the platform's call that promotes an instance, and gives the
// HTTP status of the response. Its error is ErrNotSent where the call certainly
// did not leave this node; after any other error it may have been received.
type Promoter func(cfg config.Config, promotion adapter.Promotion) (status int, err error)
