package distribution

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// observationOf returns an observation, made at the current time, of an instance of a
// database.
func observationOf(h *harness, database string, synchronous bool) Observation {
	observed := instance(database+"-a", model.RolePrimary)
	observed.Database, observed.SyncReplication = database, synchronous
	return Observation{Instance: observed, ObservedAt: h.now}
}

func TestFailoverEvidence(t *testing.T) {
	Convey("The evidence on a database is of the kind that belongs to its replication", t, func() {
		h := newHarness(1, store.New())
		observations := []Observation{observationOf(h, "async", false), observationOf(h, "sync", true)}
		async := h.FailoverEvidence("async", observations, h.wallNanos, h.now)
		So(async.Async.Database, ShouldEqual, "async")
		So(async.Async.Observations, ShouldHaveLength, 1)
		So(async.Sync.Database, ShouldBeEmpty)
		synchronous := h.FailoverEvidence("sync", observations, h.wallNanos, h.now)
		So(synchronous.Sync.Database, ShouldEqual, "sync")
		So(synchronous.Sync.Observations, ShouldHaveLength, 1)
		So(synchronous.Async.Database, ShouldBeEmpty)
	})
	Convey("A database whose writer role has synchronous replication gets that kind of evidence, even if no instance is observed", t, func() {
		h := newHarness(1, store.New())
		h.openTerm(3)
		So(h.FailoverEvidence("db", nil, h.wallNanos, h.now).Sync.Database, ShouldEqual, "db")
	})
}

func TestDatabasesByReplication(t *testing.T) {
	Convey("All databases are listed in the order of their names, and those with synchronous replication also in a list of their own", t, func() {
		h := newHarness(1, store.New())
		all, synchronous := h.DatabasesByReplication(nil)
		So(all, ShouldBeEmpty)
		So(synchronous, ShouldBeEmpty)
		h.openTerm(3)
		all, synchronous = h.DatabasesByReplication([]Observation{observationOf(h, "x", true), observationOf(h, "a", false)})
		So(all, ShouldResemble, []string{"a", "db", "x"})
		So(synchronous, ShouldResemble, []string{"db", "x"})
	})
}

func TestSyncFailoverActive(t *testing.T) {
	for _, row := range []struct {
		title  string
		writer model.WriterRole
		active bool
	}{
		{"No failover is active while a term is open", model.WriterRole{Database: "db", Term: 3, SyncReplication: true, Phase: model.PhaseOpen}, false},
		{"A failover is active while a term is closing", model.WriterRole{Database: "db", Term: 3, SyncReplication: true, Phase: model.PhaseClosing}, true},
		{"A failover is active during a promotion", model.WriterRole{Database: "db", Term: 3, SyncReplication: true, Phase: model.PhasePromoting}, true},
		{"A closing term with asynchronous replication does not count as a synchronous failover", model.WriterRole{Database: "db", Term: 3, Phase: model.PhaseClosing}, false},
	} {
		Convey(row.title, t, func() {
			h := newHarness(1, store.New())
			h.put(store.Put{Key: model.PrefixWriterRole + "db", Data: store.Encode(row.writer)})
			So(h.IsSyncFailoverActive(), ShouldEqual, row.active)
		})
	}
	Convey("No failover is active without a writer role", t, func() {
		So(newHarness(1, store.New()).IsSyncFailoverActive(), ShouldBeFalse)
	})
}
