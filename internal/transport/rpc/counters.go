package rpc

// Names of the counters that a Hub adds to.
const (
	// counterReceived and counterSent count messages, calls and replies; a reply that is
	// sent is not counted. counterSentBytes counts the bytes of all frames sent.
	counterReceived  = "link_in"
	counterSent      = "link_out"
	counterSentBytes = "link_out_bytes"
	// counterDialFailed counts connections that could not be opened, each with the loss
	// of its backlog.
	counterDialFailed = "link_dial_faults"
	// counterEncodeFailed counts messages that gob could not encode, each with the loss
	// of its connection.
	counterEncodeFailed = "link_encode_faults"
	// counterInboxFull counts messages that were dropped since all workers were busy and
	// the inbox was full.
	counterInboxFull = "link_inbox_full"
	// counterUnknownMessage counts skipped messages of types that this build does not
	// know.
	counterUnknownMessage = "link_unknown_message"
)

// rejectionCounters names the counters of frames that close their connection.
var rejectionCounters = map[error]string{
	errGarbage:   "link_refused_garbage",
	errVersion:   "link_refused_version",
	errOversized: "link_refused_oversized",
	errChecksum:  "link_refused_checksum",
}
