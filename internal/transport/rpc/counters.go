package rpc

// Names of the counters of a Hub.
const (
	// counterReceived counts received messages, calls and replies. counterSent counts
	// sent messages and calls, but not sent replies. counterSentBytes counts the bytes
	// of all sent frames.
	counterReceived  = "link_in"
	counterSent      = "link_out"
	counterSentBytes = "link_out_bytes"
	// counterDialFailed counts connections that could not be opened. Each failure drops
	// the backlog of the connection.
	counterDialFailed = "link_dial_faults"
	// counterEncodeFailed counts messages that gob could not encode. Each failure closes
	// the connection.
	counterEncodeFailed = "link_encode_faults"
	// counterInboxFull counts messages that were dropped because all workers were busy
	// and the inbox was full.
	counterInboxFull = "link_inbox_full"
	// counterUnknownMessage counts skipped messages of types that are not registered in
	// this build.
	counterUnknownMessage = "link_unknown_message"
)

// rejectionCounters are the names of the counters of rejected frames, by error. A
// rejected frame closes its connection.
var rejectionCounters = map[error]string{
	errMalformed: "link_refused_garbage",
	errVersion:   "link_refused_version",
	errOversized: "link_refused_oversized",
	errChecksum:  "link_refused_checksum",
}
