package standin

import (
	"context"
	"net/http"
	"time"
)

func (x *Instance) announceLoop(ctx context.Context) {
	client := newClient(x.config.Address, 800*time.Millisecond)
	ticker := time.NewTicker(400 * time.Millisecond)
	defer ticker.Stop()
	for {
		x.mutex.Lock()
		body := map[string]any{
			"instance": x.config.Name, "database": x.config.Database, "address": x.config.Address, "zone": x.config.Zone,
			"role": x.role, "birth": x.incarnation, "term": x.term, "position": x.position(), "leaving": x.leavingSince != 0,
			"connections": x.config.Connections, "slots": x.config.Slots,
		}
		addresses := []string{}
		for address := range x.announceAddresses {
			addresses = append(addresses, address)
		}
		silent := x.silent
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

func (x *Instance) announce(client *http.Client, address string, body map[string]any) {
	var answer struct {
		Nodes []string `json:"nodes"`
	}
	if post(client, address, "/v1/announce", body, &answer) != nil {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, node := range answer.Nodes {
		x.announceAddresses[node] = true
	}
}
