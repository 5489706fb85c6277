package node

import (
	"net/http"

	"github.com/valyala/fastjson"

	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/state/model"
)

// announceRetryMillis is the delay, in ms, after which an instance repeats its
// announcement if no control primary accepted it.
const announceRetryMillis = 500

// SyncedAnnouncementHandler delivers the announcement of an instance with
// synchronous replication to the control primary. It returns the HTTP address to
// which the instance should send its next announcement, and false if no primary
// accepted this one.
type SyncedAnnouncementHandler func(model.Instance) (httpAddress string, accepted bool)

// OnSyncedAnnouncement sets the handler for the announcements of instances with
// synchronous replication. Without a handler, these announcements are refused.
func (n *Node) OnSyncedAnnouncement(handle SyncedAnnouncementHandler) {
	n.onSyncedAnnouncement = handle
}

// AnnounceResponse is the body of the answer to an accepted announcement.
type AnnounceResponse struct {
	// HTTPAddress is the address to which an instance with synchronous replication
	// should send its next announcement. It is nil for other instances.
	HTTPAddress *string `json:"door,omitempty"`
	// Nodes holds the HTTP addresses of the live nodes. It is empty for instances
	// with synchronous replication.
	Nodes []string `json:"nodes"`
}

func (n *Node) onAnnounce(body *fastjson.Value, _ []byte, _ *http.Request) (int, any) {
	return n.Announce(parseInstance(body))
}

func parseInstance(body *fastjson.Value) model.Instance {
	text := func(key string) string { return string(body.GetStringBytes(key)) }
	return model.Instance{
		Name:               text("instance"),
		Database:           text("database"),
		Address:            text("address"),
		Zone:               text("zone"),
		Role:               text("role"),
		Incarnation:        text("birth"),
		Term:               body.GetUint64("term"),
		Position:           model.Position{Term: body.GetUint64("position", "term"), Index: body.GetUint64("position", "index")},
		Leaving:            body.GetBool("leaving"),
		Connections:        body.GetInt("connections"),
		Slots:              body.GetInt("slots"),
		SyncReplication:    body.GetBool("synced"),
		Stopped:            body.GetBool("gone"),
		AnnouncementNumber: body.GetUint64("calls"),
	}
}

// Announce handles an instance's announcement and returns the HTTP status and the
// body of the answer.
func (n *Node) Announce(instance model.Instance) (int, any) {
	if instance.SyncReplication {
		return n.announceSynced(instance)
	}
	if !n.RecordAnnouncement(instance) {
		return databaseConflict(instance)
	}
	response := AnnounceResponse{Nodes: []string{}}
	for _, node := range n.Nodes("", membership.StatusLive) {
		response.Nodes = append(response.Nodes, node.HTTPAddress)
	}
	return http.StatusOK, response
}

// announceSynced has the control primary record the announcement of an instance
// with synchronous replication.
func (n *Node) announceSynced(instance model.Instance) (int, any) {
	address, accepted := n.forwardSynced(instance)
	if !accepted {
		response := NewErrorResponse("no control primary took the announcement")
		response.Outcome, response.RetryAfterMillis = OutcomeUnknown, announceRetryMillis
		return http.StatusServiceUnavailable, response
	}
	return http.StatusOK, AnnounceResponse{HTTPAddress: &address, Nodes: []string{}}
}

func (n *Node) forwardSynced(instance model.Instance) (string, bool) {
	if n.onSyncedAnnouncement == nil {
		return "", false
	}
	return n.onSyncedAnnouncement(instance)
}

func databaseConflict(instance model.Instance) (int, any) {
	return http.StatusConflict, NewErrorResponse("instance " + instance.Name + " belongs to another database")
}
