package control

import (
	"time"

	"tansyseam/internal/app/config"
	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/state/model"
)

// Adapters connect the control plane to synchronously replicated instances and
// to their platform. A nil field is not called.
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
	// Term is the argument of the step-down command: a primary of an earlier term
	// becomes a replica.
	Term uint64
	// Timeout bounds the wait for the reply.
	Timeout time.Duration
}

// CommandReply is an instance's reply to a command.
type CommandReply struct {
	Role     string
	Term     uint64
	Position model.Position
	// Busy is true if the instance is running but returned no status.
	Busy bool
	// Gone is true if no instance of that name is at the address.
	Gone bool
	// Err is not nil if there was no reply.
	Err error
}

// Promoter makes the platform call that promotes an instance and returns the
// HTTP status of the response. The error is ErrNotSent if the call certainly did
// not leave this node. After any other error the platform may have received the
// call.
type Promoter func(cfg config.Config, promotion adapter.Promotion) (status int, err error)
