package failover

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// executions notes in order what an Executor does. Records are committed by hand.
type executions struct {
	log       []string
	committed func()
}

func (x *executions) executor() Executor {
	return Executor{
		Record: func(record Record, committed func()) {
			x.log, x.committed = append(x.log, "record "+record.Change), committed
		},
		Act:    func(effect Effect) { x.log = append(x.log, effect.(string)) },
		Finish: func() { x.log = append(x.log, "finish") },
	}
}

func TestExecute(t *testing.T) {
	intent, opening := Record{Change: "intent"}, Record{Change: "opening"}
	for _, row := range []struct {
		title   string
		effects []Effect
		// stages are what is done at once, and after each record that is committed.
		stages [][]string
	}{
		{"Without effects, only the end is told", nil, [][]string{{"finish"}}},
		{"Effects are carried out in order", []Effect{"query", "promote"}, [][]string{{"query", "promote", "finish"}}},
		{"What follows a record waits until it is committed", []Effect{"query", intent, "promote"},
			[][]string{{"query", "record intent"}, {"promote", "finish"}}},
		{"Each record is waited for", []Effect{intent, opening, "promote"},
			[][]string{{"record intent"}, {"record opening"}, {"promote", "finish"}}},
	} {
		Convey(row.title, t, func() {
			x := &executions{}
			x.executor().Execute(row.effects)
			var expected []string
			for stage, done := range row.stages {
				if stage > 0 {
					x.committed()
				}
				expected = append(expected, done...)
				So(x.log, ShouldResemble, expected)
			}
		})
	}
	Convey("A record may be committed before its request returns", t, func() {
		x := &executions{}
		executor := x.executor()
		executor.Record = func(record Record, committed func()) {
			x.log = append(x.log, record.Change)
			committed()
		}
		executor.Execute([]Effect{intent, "promote", opening})
		So(x.log, ShouldResemble, []string{"intent", "promote", "opening", "finish"})
	})
	Convey("The end need not be heard of", t, func() {
		x := &executions{}
		executor := x.executor()
		executor.Finish = nil
		executor.Execute([]Effect{"query"})
		So(x.log, ShouldResemble, []string{"query"})
	})
}
