package routing

import (
	"maps"
	"time"

	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/state/model"
)

// Teller leaves out of what a node tells what the control primary has by
// earlier asks of the same run.
type Teller struct {
	// known is the tenure that has what held and highs list, 0 for none; out
	// and rose are what an ask that is not answered yet adds to them.
	known uint64
	held  map[string]told
	highs map[string]model.Position
	isOut bool
	out   map[string]told
	rose  map[string]model.Position
}

type told struct {
	instance   model.Instance
	answeredAt time.Duration
	isTroubled bool
}

func toldOf(report distribution.Report, now time.Duration) told {
	return told{instance: report.Instance, answeredAt: now - report.Answered, isTroubled: report.Refused > 0 || report.Overdue > 0}
}

func (t *Teller) forget() {
	t.known, t.held, t.highs = 0, map[string]told{}, map[string]model.Position{}
}

// Ask gives what the next ask must tell. Where the one before was not
// answered, that is all.
func (t *Teller) Ask(all distribution.Told, now time.Duration) distribution.Told {
	if t.isOut || t.known == 0 {
		t.forget()
	}
	t.isOut, t.out, t.rose = true, map[string]told{}, map[string]model.Position{}
	for _, report := range all.Reports {
		t.out[report.Instance.Name] = toldOf(report, now)
	}
	maps.Copy(t.rose, all.Highs)
	return t.Brief(all, now)
}

// Brief gives what is to be told beside the asks; it may be lost, so nothing
// rests on it.
func (t *Teller) Brief(all distribution.Told, now time.Duration) distribution.Told {
	brief := distribution.Told{Node: all.Node, Known: t.known, Highs: map[string]model.Position{}}
	for _, report := range all.Reports {
		if held, isHeld := t.held[report.Instance.Name]; isHeld {
			fresh := toldOf(report, now)
			if fresh.instance == held.instance && fresh.answeredAt <= held.answeredAt && !fresh.isTroubled && !held.isTroubled {
				continue
			}
			report.Instance = since(held.instance, report.Instance)
		}
		brief.Reports = append(brief.Reports, report)
	}
	for name, high := range all.Highs {
		if t.highs[name].IsBefore(high) {
			brief.Highs[name] = high
		}
	}
	return brief
}

func since(before, instance model.Instance) model.Instance {
	moved := instance.Position
	instance.Position = before.Position
	if instance != before || (moved == model.Position{} && before.Position != moved) {
		instance.Position = moved
		return instance
	}
	brief := model.Instance{Name: instance.Name}
	if moved != before.Position {
		brief.Position = moved
	}
	return brief
}

// Took takes the answer to the last ask. A tenure that has not what the ask
// left out says so by its own number.
func (t *Teller) Took(tenure uint64) {
	isSame := t.known == 0 || t.known == tenure
	if !t.isOut || tenure == 0 || !isSame {
		t.isOut = false
		t.forget()
		return
	}
	t.isOut, t.known = false, tenure
	maps.Copy(t.held, t.out)
	maps.Copy(t.highs, t.rose)
}
