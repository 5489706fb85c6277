package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Callers runs the callers of a mix against the proxies that the platform hands
// out.
type Callers struct {
	platform   *Platform
	history    *History
	group      sync.WaitGroup
	cancel     context.CancelFunc
	mutex      sync.Mutex
	rateFactor float64
}

// StartCallers starts the callers of a mix. The number of sessions and the
// request rate of each role are multiplied by scale; each role has at least one
// caller. The same seed produces the same random choices.
func StartCallers(ctx context.Context, mix Mix, platform *Platform, history *History, seed uint64, scale float64) *Callers {
	ctx, cancel := context.WithCancel(ctx)
	c := &Callers{platform: platform, history: history, cancel: cancel, rateFactor: 1}
	callerNumber := uint64(0)
	for _, role := range mix.Roles {
		count := max(1, int(float64(role.Sessions)*scale))
		for index := range count {
			callerNumber++
			newCaller := &caller{
				callers: c, role: role, name: fmt.Sprintf("%s%d", role.Name, index),
				database:  mix.Databases[index%len(mix.Databases)],
				zone:      mix.Zones[(index/len(mix.Databases))%len(mix.Zones)],
				random:    rand.New(rand.NewPCG(seed, callerNumber)),
				thinkTime: time.Duration(float64(time.Second) * float64(count) / (role.RequestRate * scale)),
			}
			c.group.Go(func() { newCaller.run(ctx) })
		}
	}
	return c
}

// SetRateFactor sets the factor by which the callers' request rate is
// multiplied. It is 1 at the start.
func (c *Callers) SetRateFactor(factor float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rateFactor = factor
}

// Stop stops the callers and waits until their current operations have ended.
func (c *Callers) Stop() {
	c.cancel()
	c.group.Wait()
}
