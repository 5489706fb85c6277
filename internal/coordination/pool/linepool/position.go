package linepool

import (
	"time"

	"tansyseam/internal/state/model"
)

const (
	// freshnessMargin is the amount by which the freshness bound of a read is
	// shortened. It covers the time between a client's request and the moments
	// at which positions are sampled.
	freshnessMargin = 100 * time.Millisecond
	// sampleRetention is the age from which a position sample is dropped when
	// another one is recorded. A read with a longer freshness bound uses the
	// oldest sample that is left.
	sampleRetention = 8 * time.Second
	// sampleInterval is the minimum time between a sample and the second one
	// before it. It bounds the number of samples that are kept.
	sampleInterval = 20 * time.Millisecond
)

// positionSample records that position covers everything that was committed
// before takenAt.
type positionSample struct {
	takenAt  time.Duration
	position model.Position
}

// minPositionFor returns the position that covers everything a read must see:
// the commits confirmed before its freshness bound and, with read-your-writes,
// the session's own commits. found is false if no sample is recent enough.
func (m *Machine) minPositionFor(database *databaseState, request *Request) (minPosition model.Position, found bool) {
	earliest := request.arrivedAt - request.binding.Freshness + freshnessMargin
	for _, sample := range database.samples {
		if sample.takenAt >= earliest {
			minPosition, found = sample.position, true
			break
		}
	}
	if request.binding.ReadYourWrites {
		minPosition = minPosition.Max(request.client.ownCommits[database.name].position)
	}
	return minPosition, found
}

// samplePrimaryPosition records the position in an answer from the primary as a
// sample. The position covers what was committed before the request was sent to
// the primary. Nothing is recorded without a lease, or if the request was not
// sent in the primary's open term.
func (m *Machine) samplePrimaryPosition(attempt *requestAttempt, position model.Position, now time.Duration) {
	database := attempt.conn.instance.database
	writer, primary, open := m.writer(database)
	fromPrimary := open && primary == attempt.conn.instance && attempt.request.term == writer.Term
	if fromPrimary && m.Routing().HasLease(now) && position != (model.Position{}) {
		database.recordPosition(attempt.sentAt, position, now)
	}
}

// recordPosition adds a sample. Samples are ordered by time, and their
// positions never decrease. If the new sample is within sampleInterval of the
// next-to-last one, it replaces the last one.
func (d *databaseState) recordPosition(takenAt time.Duration, position model.Position, now time.Duration) {
	for len(d.samples) > 0 && now-d.samples[0].takenAt > sampleRetention {
		d.samples = d.samples[1:]
	}
	count := len(d.samples)
	if count > 0 {
		last := d.samples[count-1]
		if takenAt <= last.takenAt {
			return
		}
		position = position.Max(last.position)
	}
	sample := positionSample{takenAt: takenAt, position: position}
	if count > 1 && takenAt-d.samples[count-2].takenAt < sampleInterval {
		d.samples[count-1] = sample
		return
	}
	d.samples = append(d.samples, sample)
}
