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

// Announcement is the body that an instance sends to the fleet's nodes.
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

func (x *Instance) announcement() Announcement {
	return Announcement{
		Instance: x.config.Name, Database: x.config.Database, Address: x.config.Address, Zone: x.config.Zone,
		Role: x.role, Incarnation: x.incarnation, Term: x.term, Position: x.position(), Leaving: x.leavingSince != 0,
		Connections: x.config.Connections, Slots: x.config.Slots,
	}
}

// announceLoop announces the instance to all nodes that it knows, until ctx ends.
func (x *Instance) announceLoop(ctx context.Context) {
	client := newClient(x.config.Address, announceTimeout)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		x.mutex.Lock()
		body, silent, addresses := x.announcement(), x.silent, slices.Collect(maps.Keys(x.announceAddresses))
		x.mutex.Unlock()
		if !silent {
			for _, address := range addresses {
				go x.announce(client, address, body)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce makes one announcement, and learns of further nodes.
func (x *Instance) announce(client *http.Client, address string, body Announcement) {
	var answer struct {
		Nodes []string `json:"nodes"`
	}
	if _, err := post(client, address, "/v1/announce", body, &answer); err != nil {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, node := range answer.Nodes {
		x.announceAddresses[node] = true
	}
}
