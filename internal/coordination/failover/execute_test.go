package failover

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// executions logs in order what an Executor does. The test commits a record by calling
// committed.
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
		// stages are the expected log entries: first those before any record is
		// committed, then those after each committed record.
		stages [][]string
	}{
		{"Without effects, only Finish is called", nil, [][]string{{"finish"}}},
		{"Effects are carried out in order", []Effect{"query", "promote"}, [][]string{{"query", "promote", "finish"}}},
		{"The effects after a record wait until it is committed", []Effect{"query", intent, "promote"},
			[][]string{{"query", "record intent"}, {"promote", "finish"}}},
		{"The effects after several records wait for each of them", []Effect{intent, opening, "promote"},
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
	Convey("If a record is committed before its request returns, the effects are still carried out in order", t, func() {
		x := &executions{}
		executor := x.executor()
		executor.Record = func(record Record, committed func()) {
			x.log = append(x.log, record.Change)
			committed()
		}
		executor.Execute([]Effect{intent, "promote", opening})
		So(x.log, ShouldResemble, []string{"intent", "promote", "opening", "finish"})
	})
	Convey("Without a Finish function, the effects are carried out all the same", t, func() {
		x := &executions{}
		executor := x.executor()
		executor.Finish = nil
		executor.Execute([]Effect{"query"})
		So(x.log, ShouldResemble, []string{"query"})
	})
}
