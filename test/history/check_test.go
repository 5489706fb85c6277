package history

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/test/standin"
)

func at(ms int64) int64 { return ms * int64(time.Millisecond) }

func good() Evidence {
	entries := []standin.Entry{
		{Term: 1, Index: 1, Gos: []string{"s.1"}, Texts: []string{`book "s.1" by ann x`}},
		{Term: 1, Index: 2, Gos: []string{"s.2", "s.3"}, Texts: []string{`hold "s.2" by ann x`}},
	}
	return Evidence{
		Logs: map[string]map[string][]standin.Entry{"d": {"a": entries}}, Writer: map[string]string{"d": "a"},
		Events: []standin.Event{
			{Caller: "ann", Database: "d", Kind: "write", Go: "s.1", Text: `book "s.1" by ann x`, Outcome: "kept", Position: standin.Position{Term: 1, Index: 1}, Sent: at(0), Got: at(10), Sequence: 1, Door: "x"},
			{Caller: "ann", Database: "d", Kind: "inside", Go: "s.2", Text: `hold "s.2" by ann x`, Outcome: "done", Sent: at(20), Got: at(30), Sequence: 1},
			{Caller: "ann", Database: "d", Kind: "commit", Go: "s.3", Gos: []string{"s.2"}, Outcome: "kept", Position: standin.Position{Term: 1, Index: 2}, Sent: at(40), Got: at(50), Sequence: 1},
			{Caller: "bob", Database: "d", Kind: "read", Text: `look "d" by bob x`, Outcome: "read", Upto: standin.Position{Term: 1, Index: 2}, Sent: at(60), Got: at(70), Sequence: 1, FreshMS: 0},
		},
		Ran: []standin.Ran{
			{Instance: "a", Text: `book "s.1" by ann x`, Go: "s.1", IsWrite: true, At: at(5)},
			{Instance: "a", Text: `hold "s.2" by ann x`, Go: "s.2", Turn: "t1", IsWrite: true, At: at(25)},
			{Instance: "a", Text: `look "d" by bob x`, At: at(65)},
		},
	}
}

func TestCheckersCatchPlantedViolations(t *testing.T) {
	plants := map[string]func(*Evidence){
		"effect once per go": func(e *Evidence) {
			e.Logs["d"]["a"] = append(e.Logs["d"]["a"], standin.Entry{Term: 1, Index: 3, Gos: []string{"s.1"}})
		},
		"told not kept, yet kept": func(e *Evidence) {
			e.Events[0].Outcome = "not_kept"
		},
		"confirmed commit lost": func(e *Evidence) {
			e.Logs["d"]["a"] = e.Logs["d"]["a"][:1]
		},
		"read misses a confirmed commit": func(e *Evidence) {
			e.Events[3].Upto = standin.Position{Term: 1, Index: 1}
		},
		"statement in another's transaction or settings": func(e *Evidence) {
			e.Ran = append(e.Ran, standin.Ran{Text: `look "d" by bob x`, Turn: "t1"})
			e.Events = append(e.Events, e.Events[3])
		},
		"statement that no caller sent, or with its text changed": func(e *Evidence) {
			e.Ran[0].Text += " "
		},
		"old primary confirms after a promotion": func(e *Evidence) {
			e.Ran = append(e.Ran, standin.Ran{Instance: "b", Database: "d", Act: "promote", Term: 2, At: at(4)})
		},
		"binding change ignored or undone": func(e *Evidence) {
			e.Events[0].Sequence = 2
			e.Events = append(e.Events, standin.Event{Caller: "bob", Kind: "read", Outcome: "read", Sent: at(300), Got: at(310), Sequence: 1})
		},
		"broken set taken, or a taken one lost": func(e *Evidence) {
			e.Sent = []Sent{{ID: "one", Content: "a"}}
			e.Seen = []Seen{{Node: "d1", Sequence: 1, Content: "b"}}
		},
		"work reaches a leaving instance": func(e *Evidence) {
			e.Ran[2].Leaving, e.Ran[2].At = at(1), at(7002)
		},
		"planned restart cuts a request off": func(e *Evidence) {
			e.Restarts = []Restart{{Door: "x", From: at(0), Until: at(100)}}
			e.Events = append(e.Events, standin.Event{Door: "x", Kind: "read", Text: `look "d" by bob x`, Outcome: "cut", Sent: at(62), Got: at(80)})
		},
		"service stays down after a closing fault": func(e *Evidence) {
			for ms := range int64(100) {
				e.Events = append(e.Events, standin.Event{Database: "d", Kind: "read", Outcome: "read", Upto: standin.Position{Term: 9}, Sent: at(10 * ms), Got: at(10*ms + 5)})
			}
			e.Closings = []Closing{{Name: "rush", BeforeFrom: at(0), BeforeUntil: at(1000), At: at(2000)}}
		},
		"a calm fleet refuses, or does not know": func(e *Evidence) {
			e.Calm = []Span{{From: at(0), Until: at(200)}}
			e.Events = append(e.Events, standin.Event{Database: "d", Kind: "write", Outcome: "unknown", Sent: at(80), Got: at(90)})
		},
	}
	Convey("A sound history passes every rule", t, func() {
		So(All(good()), ShouldBeEmpty)
	})
	Convey("Each rule catches the violation planted for it, and has one", t, func() {
		for _, rule := range Rules() {
			evidence := good()
			plant, isPlanted := plants[rule.Name]
			So(isPlanted, ShouldBeTrue)
			plant(&evidence)
			So(All(evidence), ShouldContainKey, rule.Name)
		}
	})
	Convey("Service that comes back for one kind of work but not for another, or falls again later, is caught", t, func() {
		history := func(kinds ...string) Evidence {
			e := Evidence{Closings: []Closing{{Name: "zone", BeforeFrom: at(0), BeforeUntil: at(3000), At: at(6000)}}}
			for _, kind := range kinds {
				for ms := int64(0); ms < 25000; ms += 20 {
					e.Events = append(e.Events, standin.Event{Database: "d", Kind: kind, Outcome: "done", Sent: at(ms), Got: at(ms)})
				}
			}
			return e
		}
		So(Recovery(history("read", "write")), ShouldBeEmpty)
		for _, gone := range []func(standin.Event) bool{
			func(event standin.Event) bool { return event.Kind == "write" && event.Sent > at(6000) },
			func(event standin.Event) bool { return event.Sent > at(21000) && event.Sent < at(24000) },
		} {
			e := history("read", "write")
			e.Events = slices.DeleteFunc(e.Events, gone)
			So(Recovery(e), ShouldNotBeEmpty)
		}
	})
	Convey("A commit that took effect and a door that was closed are told apart", t, func() {
		evidence := good()
		evidence.Restarts = []Restart{{Door: "x", From: at(0), Until: at(100)}}
		evidence.Events = append(evidence.Events, standin.Event{Door: "x", Kind: "set", Outcome: "cut", Sent: at(5), Got: at(6)})
		So(Cuts(evidence), ShouldBeEmpty)
		evidence.Events = append(evidence.Events, standin.Event{Door: "x", Database: "d", Kind: "commit", Go: "s.3", Outcome: "cut", Sent: at(40), Got: at(50)})
		evidence.Ran = append(evidence.Ran, standin.Ran{Act: "commit", Go: "s.3", At: at(45)})
		So(Cuts(evidence), ShouldNotBeEmpty)
	})
	Convey("Sets: each way in which one may be lost, doubled, mixed up or put out of order is caught", t, func() {
		booked := func(id, content string, due int64) Sent {
			return Sent{ID: id, Content: content, IsBooked: true, Due: at(due)}
		}
		sound := Evidence{
			Sent: []Sent{{ID: "one", Content: "a"}, {ID: "bad", Content: "x"}, booked("two", "b", 2000), booked("three", "c", 1000)},
			Told: []Told{{ID: "one", Sequence: 1, At: at(1)}, {ID: "bad", IsRefused: true}, {ID: "two", At: at(2)}, {ID: "three", At: at(3)}},
			Seen: []Seen{{Node: "d1", Sequence: 1, Content: "a"}, {Node: "d1", Sequence: 2, Content: "c"}, {Node: "d2", Sequence: 3, Content: "b"}},
			End:  at(9000),
		}
		So(Sets(sound), ShouldBeEmpty)
		for _, spoil := range []func(*Evidence){
			func(e *Evidence) { e.Seen = e.Seen[1:2]; e.Told[0].Sequence = 5 },
			func(e *Evidence) { e.Seen[0].Sequence = 7 },
			func(e *Evidence) { e.Seen = append(e.Seen, Seen{Node: "d2", Sequence: 9, Content: "b"}) },
			func(e *Evidence) { e.Seen = append(e.Seen, Seen{Node: "d2", Sequence: 1, Content: "c"}) },
			func(e *Evidence) { e.Seen = append(e.Seen, Seen{Node: "d2", Sequence: 4, Content: "x"}) },
			func(e *Evidence) { e.Seen = e.Seen[:2] },
			func(e *Evidence) { e.Seen[1].Content, e.Seen[2].Content = "b", "c" },
		} {
			spoiled := sound
			spoiled.Told, spoiled.Seen = slices.Clone(sound.Told), slices.Clone(sound.Seen)
			spoil(&spoiled)
			So(Sets(spoiled), ShouldNotBeEmpty)
		}
	})
	Convey("A set that is taken and then ignored for 3 s is caught, and one that comes early", t, func() {
		evidence := good()
		evidence.Puts = []Put{{Sequence: 2, Told: at(0)}}
		evidence.Events = append(evidence.Events, standin.Event{Kind: "read", Sent: at(3100), Got: at(3110), Sequence: 1})
		So(Sequences(evidence), ShouldNotBeEmpty)
		early := good()
		early.Puts = []Put{{Sequence: 1, Told: 0, Due: at(500)}}
		So(Sequences(early), ShouldNotBeEmpty)
	})
}
