// Package outlier grades an instance by what came of the statements that this
// node itself sent there. A grade ranks: it makes an instance dearer than the
// others, never unusable, so that a database has always one left, and it
// fades, so that the instance is tried again.
package outlier

import (
	"math"
	"time"
)

const (
	// Weight is what one outcome counts against those before.
	Weight = 0.3
	// Fading is the time in which half of a grade is forgotten.
	Fading = 2 * time.Second
)

// Grade is one instance's; the zero value is that of one that never failed.
type Grade struct {
	failing float64
	at      time.Duration
}

// Failing is the part of the late outcomes that were failures, from 0 to
// below 1.
func (g *Grade) Failing(now time.Duration) float64 {
	return g.failing * math.Exp2(-float64(max(now-g.at, 0))/float64(Fading))
}

// Note takes one outcome.
func (g *Grade) Note(isFailed bool, now time.Duration) {
	next := g.Failing(now) * (1 - Weight)
	if isFailed {
		next += Weight
	}
	g.failing, g.at = next, now
}

// Factor is by how much dearer the instance is than one that never failed:
// 1 at least.
func (g *Grade) Factor(now time.Duration) float64 {
	good := 1 - g.Failing(now)
	return 1 / (good * good)
}
