package linehistory

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const ms = time.Millisecond

// sound gives a history in which every rule is kept.
func sound() History {
	values := map[string]string{"app": "1"}
	at := func(number uint64) Position { return Position{1, number} }
	return History{
		Asked: []Asked{
			{Session: "s1", Host: "h", Kind: "primary", ID: "w1", Act: ActWrite, Text: "PUT a 1", Sent: 10 * ms, Got: 20 * ms, Stamp: "x1"},
			{Session: "s1", Host: "h", Kind: "primary", ID: "r1", Act: ActRead, Text: "FETCH a", Sent: 30 * ms, Got: 40 * ms, Stamp: "x2", Rows: []string{"1"}, Values: values},
			{Session: "s2", Host: "h", Kind: "bounded_lag", Staleness: 1500 * ms, ID: "r2", Act: ActRead, Shape: "FETCH q", Rest: " a", Sent: 30 * ms, Got: 40 * ms, Stamp: "x3", Rows: []string{"0"}},
			{Session: "s3", Host: "h", Kind: "own_writes", Staleness: 1500 * ms, ID: "t1", Act: ActWrite, Text: "PUT b 2", Turn: "s3.1", IsFirst: true, Began: 45 * ms, Sent: 50 * ms, Got: 55 * ms, Stamp: "x4"},
			{Session: "s3", Host: "h", Kind: "own_writes", Staleness: 1500 * ms, ID: "t2", Act: ActCommit, Text: "COMMIT", Turn: "s3.1", Began: 45 * ms, Sent: 60 * ms, Got: 70 * ms, Stamp: "x5"},
			{Session: "s3", Host: "h", Kind: "own_writes", Staleness: 1500 * ms, ID: "r3", Act: ActRead, Text: "FETCH b", Sent: 80 * ms, Got: 90 * ms, Stamp: "x6", Rows: []string{"2"}},
			{Session: "s4", Host: "h", Kind: "primary", ID: "w2", Act: ActWrite, Text: "PUT c 3", Sent: 100 * ms, Got: 110 * ms, Code: "BUSY"},
			{Session: "s5", Host: "gone", Kind: "primary", ID: "w3", Act: ActWrite, Text: "PUT c 3", Sent: 9000 * ms, Got: 9010 * ms, Code: "NODB"},
		},
		Ran: []Ran{
			{At: 12 * ms, Instance: "i1", Service: "s", Conn: "c1", ID: "w1", Act: ActWrite, Text: "PUT a 1", Stamp: "x1", Log: at(1), Kept: at(1)},
			{At: 32 * ms, Instance: "i1", Service: "s", Conn: "c1", ID: "r1", Act: ActRead, Text: "FETCH a", Stamp: "x2", Rows: []string{"1"}, Values: values, Log: at(1)},
			{At: 32 * ms, Instance: "i2", Service: "s", Conn: "c2", ID: "r2", Act: ActRead, Shape: "FETCH q", Rest: " a", Stamp: "x3", Rows: []string{"0"}},
			{At: 52 * ms, Instance: "i1", Service: "s", Conn: "c3", Turn: 1, ID: "t1", Act: ActWrite, Text: "PUT b 2", Stamp: "x4", Log: at(1)},
			{At: 62 * ms, Instance: "i1", Service: "s", Conn: "c3", Turn: 1, ID: "t2", Act: ActCommit, Text: "COMMIT", Stamp: "x5", Log: at(2), Kept: at(2)},
			{At: 82 * ms, Instance: "i2", Service: "s", Conn: "c2", ID: "r3", Act: ActRead, Text: "FETCH b", Stamp: "x6", Rows: []string{"2"}, Log: at(2)},
		},
		Logs: map[string][]Kept{"s": {{at(1), []string{"w1"}}, {at(2), []string{"t1", "t2"}}}},
		Versions: []Version{
			{Number: 3, Sent: 1 * ms, Acked: 2 * ms, Hosts: map[string]string{"h": "s", "gone": "s"}, Body: "three"},
			{Number: 7, Sent: 1000 * ms, Acked: 1010 * ms, Hosts: map[string]string{"h": "s"}, Body: "seven"},
			{Number: 9, Sent: 1000 * ms, IsInvalid: true, Body: "nine"},
		},
		Fetched:  "seven",
		Calm:     []Span{{0, time.Hour}},
		Closings: []Closing{{Before: Span{0, 50 * ms}, At: 50 * ms}},
		End:      100 * ms,
		Bounds:   Bounds{Apply: 3000 * ms, Drain: 7000 * ms, Recover: 25 * ms, Slack: 200 * ms},
	}
}

func TestRules(t *testing.T) {
	Convey("A sound history keeps every rule", t, func() {
		So(All(sound()), ShouldBeEmpty)
	})
	planted := []struct {
		name, what string
		plant      func(*History)
	}{
		{"UNASKED", "a statement under an id that nobody sent", func(h *History) { h.Ran[0].ID = "other" }},
		{"UNASKED", "a text with one byte changed", func(h *History) { h.Ran[0].Text = "PUT a  1" }},
		{"UNASKED", "the data of a prepared one changed", func(h *History) { h.Ran[2].Rest = " b" }},
		{"UNASKED", "a read sent on as the fleet's own", func(h *History) { h.Ran[1].ID = "-" }},
		{"UNASKED", "a commit that the client did not ask for", func(h *History) { h.Logs["s"][1].IDs = []string{"t1"} }},
		{"MIXED", "a success with no stamp", func(h *History) { h.Asked[0].Stamp = "-" }},
		{"MIXED", "another's stamp", func(h *History) { h.Asked[0].Stamp = "x2" }},
		{"MIXED", "another's rows", func(h *History) { h.Asked[1].Rows = []string{"0"} }},
		{"MIXED", "rows left out", func(h *History) { h.Asked[1].Rows = nil }},
		{"PINNED", "a statement outside its transaction", func(h *History) { h.Ran[3].Turn = 0 }},
		{"PINNED", "a single statement inside a transaction", func(h *History) { h.Ran[1].Turn = 4 }},
		{"PINNED", "a transaction on two connections", func(h *History) { h.Ran[4].Conn = "c9" }},
		{"PINNED", "two transactions in one", func(h *History) {
			other := h.Asked[3]
			other.ID, other.Turn = "t9", "s9.1"
			ran := h.Ran[3]
			ran.ID = "t9"
			h.Asked, h.Ran = append(h.Asked, other), append(h.Ran, ran)
		}},
		{"PINNED", "values that are not the client's", func(h *History) { h.Ran[1].Values = nil }},
		{"PINNED", "values of another", func(h *History) { h.Ran[0].Values = map[string]string{"app": "9"} }},
		{"PINNED", "another shape", func(h *History) { h.Ran[2].Shape = "PUT q" }},
		{"PINNED", "a prepared name that is unknown", func(h *History) { h.Asked[2].Code = "NOTFOUND" }},
		{"TWICE", "a write kept twice", func(h *History) {
			h.Logs["s"] = append(h.Logs["s"], Kept{Position{1, 3}, []string{"w1"}})
		}},
		{"REFUSED", "a single write kept after a promise", func(h *History) {
			h.Logs["s"] = append(h.Logs["s"], Kept{Position{1, 3}, []string{"w2"}})
		}},
		{"REFUSED", "a transaction kept after a promise to its commit", func(h *History) { h.Asked[4].Code = "ABORTED" }},
		{"REFUSED", "a transaction kept after a promise to its first", func(h *History) { h.Asked[3].Code = "LAGGING" }},
		{"STALE", "a read of the primary's without a commit told before", func(h *History) { h.Ran[1].Log = Position{} }},
		{"STALE", "a read beyond its bound", func(h *History) { h.Asked[2].Staleness = 5 * ms }},
		{"STALE", "a session without its own commit", func(h *History) { h.Ran[5].Log = Position{1, 1} }},
		{"STALE", "a read on an older term", func(h *History) { h.Logs["s"][0].At.Term, h.Ran[0].Log.Term = 2, 2 }},
		{"STALE", "a transaction that began after a commit was told", func(h *History) {
			h.Ran[1].Turn, h.Asked[1].Turn, h.Asked[1].Began, h.Ran[1].Log = 1, "s1.1", 25*ms, Position{}
		}},
		{"ONE", "a commit told by a primary after another was promoted", func(h *History) {
			h.Promotions = append(h.Promotions, Promotion{At: 40 * ms, Service: "s", Instance: "i2", Term: 2})
		}},
		{"LOST", "a told commit not in the log", func(h *History) { h.Logs["s"] = h.Logs["s"][:1] }},
		{"LOST", "a session cut off in a calm, long after its statement was sent", func(h *History) { h.Asked[6].IsCut, h.Asked[6].Got = true, 301*ms }},
		{"LOST", "a session cut off in a calm after its statement was run", func(h *History) { h.Asked[1].IsCut = true }},
		{"DRAIN", "a single statement long after the leaving", func(h *History) { h.Ran[0].Leaving, h.Ran[0].At = 1*ms, 7002*ms }},
		{"DRAIN", "a transaction's first long after the leaving", func(h *History) { h.Ran[3].Leaving, h.Ran[3].At = 1*ms, 7002*ms }},
		{"CONFIG", "an invalid version acknowledged", func(h *History) { h.Versions[2].Acked = 1100 * ms }},
		{"CONFIG", "an older version read back", func(h *History) { h.Fetched = "three" }},
		{"CONFIG", "other bytes read back", func(h *History) { h.Fetched = "sevenn" }},
		{"CONFIG", "a statement run with a dropped route", func(h *History) {
			h.Ran = append(h.Ran, Ran{ID: "w3", Service: "s", Act: ActWrite, Text: "PUT c 3", At: 9001 * ms})
		}},
		{"CONFIG", "a statement run by another service", func(h *History) { h.Ran[0].Service = "z" }},
		{"CONFIG", "a route that is there, refused", func(h *History) { h.Asked[7].Host = "h" }},
		{"RECOVER", "nothing served after the closing fault", func(h *History) { h.Asked[5].Code = "FAILED" }},
	}
	Convey("Each rule's checker sees what breaks it", t, func() {
		seen := map[string]bool{}
		for _, one := range planted {
			history := sound()
			one.plant(&history)
			seen[one.name] = true
			SoMsg(one.name+": "+one.what, Rules()[one.name](history), ShouldNotBeEmpty)
		}
		So(slices.Sorted(maps.Keys(seen)), ShouldResemble, slices.Sorted(maps.Keys(Rules())))
	})
	Convey("What the rules leave out is not counted", t, func() {
		history := sound()
		history.Calm = nil
		history.Asked[1].IsCut = true
		So(Lost(history), ShouldBeEmpty)
		history = sound()
		history.Asked[6].IsCut = true
		So(Lost(history), ShouldBeEmpty)
		history = sound()
		history.Ran[4].Leaving, history.Ran[4].At = 1*ms, 8000*ms
		So(Drain(history), ShouldBeEmpty)
		history = sound()
		history.Asked[7].Sent, history.Asked[7].Got, history.Asked[7].Host = 1500*ms, 1600*ms, "gone"
		So(Config(history), ShouldBeEmpty)
		history = sound()
		history.Logs["s"], history.Ran[1].Log = history.Logs["s"][1:], Position{}
		So(Stale(history), ShouldBeEmpty)
	})
}
