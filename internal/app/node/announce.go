package node

import (
	"net/http"

	"github.com/valyala/fastjson"

	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/state/model"
)

// announceRetryMillis is after how many milliseconds an instance announces
// itself again if no control primary took the announcement.
const announceRetryMillis = 500

// SyncedAnnouncementHandler takes the announcement of an instance with
// synchronous replication to the control primary. It returns the HTTP address to
// which the instance had best send the next one, and false if no primary took
// it.
type SyncedAnnouncementHandler func(model.Instance) (httpAddress string, accepted bool)

// OnSyncedAnnouncement sets the handler of the announcements of instances with
// synchronous replication. Without one they are refused.
func (n *Node) OnSyncedAnnouncement(handle SyncedAnnouncementHandler) {
	n.onSyncedAnnouncement = handle
}

// AnnounceResponse answers an announcement.
type AnnounceResponse struct {
	// HTTPAddress is where an instance with synchronous replication had best
	// send its next announcement; nil for others.
	HTTPAddress *string `json:"door,omitempty"`
	// Nodes are the HTTP addresses of the live nodes. It is empty for instances
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

// Announce takes an instance's announcement and returns the HTTP status and the
// body of the answer to it.
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

// announceSynced has the control primary record the announcement.
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
