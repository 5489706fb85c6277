package idempotency

import (
	"strconv"
	"strings"
)

const (
	sessionIDSeparator = "~"
	sessionIDParts     = 3
	requestIDSeparator = '.'
)

// nodeID is one incarnation of a node.
type nodeID struct{ name, incarnation string }

func (n nodeID) sessionID(number uint64) string {
	return strings.Join([]string{n.name, n.incarnation, strconv.FormatUint(number, 10)}, sessionIDSeparator)
}

// ownerOf returns the node that opened a session, or the zero nodeID if sessionID does
// not have the form of a session id.
func ownerOf(sessionID string) nodeID {
	parts := strings.Split(sessionID, sessionIDSeparator)
	if len(parts) != sessionIDParts {
		return nodeID{}
	}
	return nodeID{name: parts[0], incarnation: parts[1]}
}

// parseRequestID splits a request id into its session id and its number in the session.
func parseRequestID(id string) (sessionID string, number uint64, valid bool) {
	at := strings.LastIndexByte(id, requestIDSeparator)
	if at <= 0 {
		return "", 0, false
	}
	number, err := strconv.ParseUint(id[at+1:], 10, 64)
	return id[:at], number, err == nil
}
