package simulation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
	"tansyseam/test/linehistory"
)

const (
	stalenessBound         = 1500 * time.Millisecond
	bindingTimeout         = 1500 * time.Millisecond
	transactionIdleTimeout = 3 * time.Second
	referenceLatencyTarget = 200 * time.Millisecond

	versionRetryInterval = time.Second
	versionRetries       = 8
	minVersionInterval   = 1500 * time.Millisecond
	maxVersionInterval   = 6 * time.Second
	// outdatedProbability is the probability that an operator submits an old
	// version again.
	outdatedProbability = 0.2

	// configurationTimeout is the time after its acknowledgement within which a
	// configuration must take effect.
	configurationTimeout = 3 * time.Second
	// downgradeTolerance is the time after a configuration took effect in which
	// an older one may still be used.
	downgradeTolerance = 250 * time.Millisecond
	// thawTolerance is the time after a node was thawed in which it may still
	// act on its state from before the freeze.
	thawTolerance = 300 * time.Millisecond
)

// markedRoute is the name of the marked route, whose database depends on the
// version of the configuration. The suffixes are those of the names of the other
// routes, which begin with the name of their database.
const (
	markedRoute  = "mark"
	strictSuffix = "-strict"
	staleSuffix  = "-stale"
	ownSuffix    = "-own"
)

// versionTime is the time at which a version was acknowledged or first used.
type versionTime struct {
	version uint64
	at      time.Duration
}

// versionHistory has the events of the configurations that operators submitted.
type versionHistory struct {
	// newest is the newest version submitted.
	newest uint64
	// sent has the time of the first submission of each version.
	sent         map[uint64]time.Duration
	acknowledged []versionTime
	// observed has the versions under which queries ran. Each is newer than the
	// one before it.
	observed []versionTime
}

func (h *versionHistory) newestAcknowledged() uint64 {
	newest := uint64(0)
	for _, acknowledged := range h.acknowledged {
		newest = max(newest, acknowledged.version)
	}
	return newest
}

// observe records the version under which a query ran, if it is newer than those
// observed before.
func (h *versionHistory) observe(version uint64, at time.Duration) {
	if len(h.observed) == 0 || h.observed[len(h.observed)-1].version < version {
		h.observed = append(h.observed, versionTime{version, at})
	}
}

// newestBefore returns the newest of the versions whose event was more than span
// before a time; 0 if there is none.
func newestBefore(versions []versionTime, at, span time.Duration) uint64 {
	newest := uint64(0)
	for _, entry := range versions {
		if entry.at+span < at {
			newest = max(newest, entry.version)
		}
	}
	return newest
}

// configurationOf returns the configuration of a version.
func (l *lineFleet) configurationOf(version uint64) model.BindingSet {
	set := model.BindingSet{Version: version, Limits: model.Limits{TransactionIdleTimeout: transactionIdleTimeout}}
	add := func(name, database string, staleness time.Duration, readYourWrites bool) {
		set.Bindings = append(set.Bindings, model.Binding{
			Name: name, Database: database, Freshness: staleness, ReadYourWrites: readYourWrites,
			Timeout: bindingTimeout, LatencyTarget: l.latencyTarget(name), Priority: 1,
		})
	}
	for _, database := range l.databases {
		set.Databases = append(set.Databases, model.Database{Name: database, MaxConnections: l.config.Connections, MinSyncReplicas: 1})
		add(database+strictSuffix, database, 0, false)
		add(database+staleSuffix, database, stalenessBound, false)
		add(database+ownSuffix, database, stalenessBound, true)
	}
	add(markedRoute, l.markedDatabase(version), 0, false)
	return set
}

func (l *lineFleet) latencyTarget(route string) time.Duration {
	if l.config.StaleLatencyTarget > 0 && strings.HasSuffix(route, staleSuffix) {
		return l.config.StaleLatencyTarget
	}
	return referenceLatencyTarget
}

// markedDatabase returns the database of the marked route in a version.
func (l *lineFleet) markedDatabase(version uint64) string {
	return l.databases[version%uint64(len(l.databases))]
}

// submitVersion submits a version repeatedly until it is acknowledged, or the
// retries are used up.
func (l *lineFleet) submitVersion(version uint64, retries int) {
	operator := newOperator(l.simulator)
	versions := &l.checker.versions
	if versions.sent[version] == 0 {
		versions.sent[version] = l.simulator.now
	}
	acknowledged := false
	if control := l.activePrimary(); control != nil {
		l.simulator.send(operator, &control.machine, func() {
			l.handleVersion(control, version, func() {
				l.simulator.send(&control.machine, operator, func() {
					if !acknowledged {
						acknowledged = true
						versions.acknowledged = append(versions.acknowledged, versionTime{version, l.simulator.now})
						l.simulator.record("operator: version %d acknowledged", version)
					}
				})
			})
		})
	}
	l.simulator.after(versionRetryInterval, func() {
		if !acknowledged && retries > 0 {
			l.submitVersion(version, retries-1)
		}
	})
}

// handleVersion commits a version at the control primary, and calls committed
// after a success.
func (l *lineFleet) handleVersion(control *controlServer, version uint64, committed func()) {
	if !control.isPrimary() {
		return
	}
	control.submit(func(table *store.Table) []store.Put {
		set := l.configurationOf(version)
		manifest := rollout.Manifest{Version: version, Set: set, Digest: rollout.DigestOf(set, nil), Source: "operator"}
		puts, _ := rollout.AcceptManifest(table, manifest, control.wallNow())
		return puts
	}, func(result consensus.SubmitResult) {
		if result.Committed {
			committed()
		}
	})
}

// submitVersionsUntil submits versions at random times until the given time.
// Some version numbers are skipped, and some old versions are submitted again.
func (l *lineFleet) submitVersionsUntil(until time.Duration) {
	s, versions := l.simulator, &l.checker.versions
	versions.newest += 1 + uint64(s.random.IntN(2))*2
	l.submitVersion(versions.newest, versionRetries)
	if s.chance(outdatedProbability) && versions.newest > 2 {
		if outdated := versions.newest - 1; versions.sent[outdated] != 0 {
			l.submitVersion(outdated, 0)
		}
	}
	if s.now < until {
		s.after(s.randomDuration(minVersionInterval, maxVersionInterval), func() { l.submitVersionsUntil(until) })
	}
}

// checkMarkedRoute checks that a query on the marked route ran at the database to
// which the route leads in some version that is not outdated.
func (l *lineFleet) checkMarkedRoute(sent *query, instance *lineInstance) {
	versions := &l.checker.versions
	oldest := uint64(0)
	if l.simulator.now-l.lastFaultEnd > 2*contactTimeout {
		oldest = newestBefore(versions.acknowledged, sent.sentAt, configurationTimeout)
	}
	node := sent.client.node
	disturbed := node == nil || node.thawedAt > sent.sentAt-thawTolerance || node.frozen
	if !disturbed {
		oldest = max(oldest, newestBefore(versions.observed, sent.sentAt, downgradeTolerance))
	}
	if !l.isDatabaseOfVersionSince(instance.database, oldest) {
		l.checker.addViolation(linehistory.RuleWrongConfiguration, "query %s, sent at %.3f, ran at %s, which only versions before %d permit", sent.id, sinceStartMS(sent.sentAt), instance.name, oldest)
	}
	versions.observe(sent.version, l.simulator.now)
}

// isDatabaseOfVersionSince reports whether the marked route leads to a database
// in any submitted version that is not older than the given one.
func (l *lineFleet) isDatabaseOfVersionSince(database string, oldest uint64) bool {
	return slices.ContainsFunc(slices.Collect(maps.Keys(l.checker.versions.sent)), func(version uint64) bool {
		return version >= oldest && l.markedDatabase(version) == database
	})
}
