package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Callers runs a mix against the proxies that the platform hands out.
type Callers struct {
	platform   *Platform
	history    *History
	group      sync.WaitGroup
	cancel     context.CancelFunc
	mutex      sync.Mutex
	rateFactor float64
}

// StartCallers starts every caller of a mix, with a part of its sessions and
// request rate. The same seed gives the same draws.
func StartCallers(ctx context.Context, mix Mix, platform *Platform, history *History, seed uint64, scale float64) *Callers {
	ctx, cancel := context.WithCancel(ctx)
	c := &Callers{platform: platform, history: history, cancel: cancel, rateFactor: 1}
	number := uint64(0)
	for _, role := range mix.Roles {
		count := max(1, int(float64(role.Sessions)*scale))
		for index := range count {
			number++
			member := &caller{
				callers: c, role: role, name: fmt.Sprintf("%s%d", role.Name, index),
				database:  mix.Databases[index%len(mix.Databases)],
				zone:      mix.Zones[(index/len(mix.Databases))%len(mix.Zones)],
				random:    rand.New(rand.NewPCG(seed, number)),
				thinkTime: time.Duration(float64(time.Second) * float64(count) / (role.RequestRate * scale)),
			}
			c.group.Go(func() { member.run(ctx) })
		}
	}
	return c
}

// SetRateFactor sets the factor of the mix's request rate; 1 is as planned.
func (c *Callers) SetRateFactor(factor float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rateFactor = factor
}

// Stop ends the callers after what they have under way.
func (c *Callers) Stop() {
	c.cancel()
	c.group.Wait()
}
