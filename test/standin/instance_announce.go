package standin

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"
)

const (
	announceInterval = 400 * time.Millisecond
	announceTimeout  = 800 * time.Millisecond
)

// Announcement is the body of an announcement, which an instance sends to the
// fleet's nodes.
type Announcement struct {
	Instance    string   `json:"instance"`
	Database    string   `json:"database"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`
	Role        string   `json:"role"`
	Incarnation string   `json:"birth"`
	Term        uint64   `json:"term"`
	Position    Position `json:"position"`
	Leaving     bool     `json:"leaving"`
	Connections int      `json:"connections"`
	Slots       int      `json:"slots"`
}

func (i *Instance) announcement() Announcement {
	return Announcement{
		Instance: i.config.Name, Database: i.config.Database, Address: i.config.Address, Zone: i.config.Zone,
		Role: i.role, Incarnation: i.incarnation, Term: i.term, Position: i.position(), Leaving: i.leavingSince != 0,
		Connections: i.config.Connections, Slots: i.config.Slots,
	}
}

// announceLoop announces the instance to all nodes in announceAddresses until
// ctx ends.
func (i *Instance) announceLoop(ctx context.Context) {
	client := newClient(i.config.Address, announceTimeout)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		i.mutex.Lock()
		body, silent, addresses := i.announcement(), i.silent, slices.Collect(maps.Keys(i.announceAddresses))
		i.mutex.Unlock()
		if !silent {
			for _, address := range addresses {
				go i.announce(client, address, body)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce sends one announcement and adds the nodes that the answer names to
// announceAddresses.
func (i *Instance) announce(client *http.Client, address string, body Announcement) {
	var answer struct {
		Nodes []string `json:"nodes"`
	}
	if _, err := post(client, address, "/v1/announce", body, &answer); err != nil {
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, node := range answer.Nodes {
		i.announceAddresses[node] = true
	}
}
