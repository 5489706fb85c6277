package distribution

import (
	"fmt"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/failover/syncrepl"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// harness is a machine with clocks that the test controls, and with a control state to
// which the machine's writes are applied.
type harness struct {
	*Machine
	stored    *store.Table
	now       time.Duration
	wallNanos int64
}

func newHarness(epoch uint64, stored *store.Table) *harness {
	return newHarnessWithTiming(lease.DefaultTiming(), epoch, stored)
}

func newHarnessWithTiming(timing lease.Timing, epoch uint64, stored *store.Table) *harness {
	h := &harness{stored: stored, now: time.Hour, wallNanos: int64(1000 * time.Hour)}
	h.Machine = New("c1", timing, consensus.Record{Epoch: epoch, Primary: "c1", Backup: "c2"}, stored, h.now)
	return h
}

// newHarnessWithNodes returns a harness with the given number of leased nodes. Each node
// reports on its own database: d0 on db0, and so on.
func newHarnessWithNodes(nodes int) *harness {
	h := newHarness(1, store.New())
	for number := range nodes {
		h.put(store.Put{Key: model.PrefixNode + fmt.Sprintf("d%d", number)}, writerPut(fmt.Sprintf("db%d", number), 1))
	}
	for number := range nodes {
		reported := instance(fmt.Sprintf("a%d", number), model.RolePrimary)
		reported.Database = fmt.Sprintf("db%d", number)
		h.HandleRequest(UpdateRequest{
			Node: fmt.Sprintf("d%d", number), Kind: model.KindProxy, Version: h.Snapshot().Version,
			Reports: []InstanceReport{{Instance: reported}},
		}, 1, h.now)
	}
	h.advance(DefaultPollTimeout)
	h.flush()
	return h
}

// newHarnessWithUpcomingSet returns a harness with a leased node d1, an active set, and a
// second set whose effective time lies in the future.
func newHarnessWithUpcomingSet(epoch uint64) *harness {
	h := newHarness(epoch, store.New())
	h.request("d1", store.Version{})
	h.putSet(0)
	h.request("d1", h.stored.Version)
	h.request("d1", h.stored.Version)
	h.putSet(1)
	h.request("d1", h.stored.Version)
	return h
}

// newHarnessInNewTenure returns a harness whose machine was primary in epoch 1, was not in
// epoch 2, and is primary again in epoch 3.
func newHarnessInNewTenure() *harness {
	h := newHarness(1, store.New())
	h.EpochChanged(consensus.Record{Epoch: 2, Primary: "c2", Backup: "c1"}, h.stored, h.now)
	h.EpochChanged(consensus.Record{Epoch: 3, Primary: "c1", Backup: "c2"}, h.stored, h.now)
	return h
}

func (h *harness) advance(span time.Duration) {
	h.now, h.wallNanos = h.now+span, h.wallNanos+int64(span)
}

// write carries out a write and returns the number of its puts.
func (h *harness) write(write Write) int {
	puts := write.Build(h.stored)
	if len(puts) > 0 {
		h.stored = h.stored.Clone()
		h.stored.Apply(store.Version{Epoch: h.Record().Epoch, Sequence: h.stored.Version.Sequence + 1}, puts)
		h.Publish(h.stored)
	}
	write.Done()
	return len(puts)
}

func (h *harness) put(puts ...store.Put) int {
	return h.write(Write{Build: func(*store.Table) []store.Put { return puts }, Done: func() {}})
}

func (h *harness) putSet(expected uint64) {
	puts, _ := rollout.AcceptBindings(h.stored, expected, []model.Binding{{Name: "b", Database: "db"}}, "test", h.wallNanos)
	h.put(puts...)
}

func (h *harness) openTerm(term uint64) {
	h.put(syncWriterPut(model.WriterRole{Database: "db", Term: term, Primary: "a", Phase: model.PhaseOpen}))
}

// runWrites carries out the writes that are due until no write changes the state, and
// returns the number of writes.
func (h *harness) runWrites() int {
	const maxRounds = 20
	writes := 0
	for range maxRounds {
		progressed := false
		for _, next := range []func(int64, time.Duration) (Write, bool){h.RegisterNodes, h.NextActivation, h.NextCollection} {
			if write, due := next(h.wallNanos, h.now); due {
				progressed = h.write(write) > 0 || progressed
				writes++
			}
		}
		if !progressed {
			break
		}
	}
	return writes
}

// receive passes the machine a request of a proxy that has applied a version.
func (h *harness) receive(node string, version store.Version) {
	h.HandleRequest(UpdateRequest{Node: node, Kind: model.KindProxy, Version: version}, 1, h.now)
}

// flush returns the primary's replies.
func (h *harness) flush() []Reply { return h.Flush(true, IdleLinks{}, h.wallNanos, h.now) }

// renewLease lets a node get a lease with the newest snapshot and then acknowledge that
// snapshot. It returns the end of the last lease granted by the call, or 0 if there is none.
func (h *harness) renewLease(node string) time.Duration {
	h.receive(node, store.Version{})
	lastExpiry := time.Duration(0)
	for _, reply := range h.flush() {
		lastExpiry = max(lastExpiry, h.now+reply.Update.LeaseDuration)
	}
	h.receive(node, h.stored.Version)
	return lastExpiry
}

// request sends a node's request, waits, and returns the update.
func (h *harness) request(node string, version store.Version) Update {
	h.receive(node, version)
	h.runWrites()
	h.advance(DefaultPollTimeout)
	replies := h.flush()
	So(len(replies), ShouldBeGreaterThan, 0)
	return replies[len(replies)-1].Update
}

// requestSnapshot sends a request of node d1 and returns the snapshot of the update.
func (h *harness) requestSnapshot(version store.Version, acceptsDelta bool) *model.Snapshot {
	h.HandleRequest(UpdateRequest{Node: "d1", Kind: model.KindProxy, Version: version, AcceptsDelta: acceptsDelta}, 1, h.now)
	h.advance(DefaultPollTimeout)
	return h.flush()[0].Update.Snapshot
}

// observe calls UpdateInstances with the instances, observed at the current time.
func (h *harness) observe(instances ...model.Instance) bool {
	var observations []Observation
	for _, observed := range instances {
		observations = append(observations, Observation{Instance: observed, ObservedAt: h.now})
	}
	return h.UpdateInstances(observations)
}

// evidence returns the evidence on database db, with both of its instances observed at the
// current time.
func (h *harness) evidence() syncrepl.Evidence {
	observations := []Observation{
		{Instance: instance("a", model.RolePrimary), ObservedAt: h.now},
		{Instance: instance("b", model.RoleReplica), ObservedAt: h.now},
	}
	return h.SyncFailoverEvidence("db", observations, h.wallNanos, h.now)
}

func instance(name, role string) model.Instance {
	return model.Instance{Name: name, Database: "db", Address: name + ":1", Role: role, SyncReplication: true}
}

func writerPut(database string, term uint64) store.Put {
	return store.Put{
		Key:  model.PrefixWriterRole + database,
		Data: store.Encode(model.WriterRole{Database: database, Term: term, Phase: model.PhaseOpen}),
	}
}

func syncWriterPut(role model.WriterRole) store.Put {
	role.SyncReplication = true
	return store.Put{Key: model.PrefixWriterRole + role.Database, Data: store.Encode(role)}
}

func setPut(sequence uint64, effectiveAt int64) store.Put {
	return store.Put{
		Key:  model.BindingSetKey(sequence),
		Data: store.Encode(model.BindingSet{Sequence: sequence, EffectiveAt: effectiveAt}),
	}
}
