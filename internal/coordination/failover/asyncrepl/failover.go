// Package asyncrepl is the machine by which the holder of a database's duty
// moves the writer role: close the term, hear that it is closed, pick the
// replica, record the intent, make the one promote call, learn its outcome
// by looking, open the new term.
package asyncrepl

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/state/model"
)

// Sight is what the fleet sees of one instance.
type Sight struct {
	Instance model.Instance
	// Heard is how long ago any node heard it announce or had an answer.
	Heard time.Duration
	// Placed is how long ago it was asked for the place shown.
	Placed time.Duration
	// Silent counts leased nodes to which it neither announced nor answered
	// within the bound; Asked counts leased nodes in all.
	Silent int
	Asked  int
	// Lagging is the longest that a commit has waited for this replica.
	Lagging time.Duration
}

// Case is what the duty's holder decides on.
type Case struct {
	Database string
	Writer   model.Writer
	IsKnown  bool
	Sights   []Sight
	// IsSettled says that every node that may hold a lease has taken up the
	// writer record as it stands.
	IsSettled bool
	// SettledFor is how long that has been so.
	SettledFor time.Duration
	// Mark is a position of the primary heard after the record was settled.
	Mark    model.Position
	HasMark bool
	// Asked counts the leased nodes that reported; Age is how long the
	// control primary has gathered reports.
	Asked int
	Age   time.Duration
	Wall  int64
}

// Record is an effect: write this in place of the case's record.
type Record struct {
	Writer   model.Writer
	What     string
	Evidence string
}

// Promote is an effect: make the platform's one call.
type Promote struct {
	Database string
	Instance string
	Address  string
	Term     uint64
}

// Timing holds the machine's bounds.
type Timing struct {
	Silence time.Duration
	Look    time.Duration
	Again   time.Duration
	Lag     uint64
	Near    uint64
	Hold    time.Duration
	Patient time.Duration
	// Shun is how long a replica struck for lag is not waited for.
	Shun time.Duration
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		Silence: 1500 * time.Millisecond, Look: 900 * time.Millisecond,
		Again: 1500 * time.Millisecond, Lag: 400, Near: 60, Hold: 700 * time.Millisecond, Patient: time.Second,
		Shun: 6 * time.Second,
	}
}

type phase func(Case, Timing) []any

var phases = map[string]phase{
	"":                 onNew,
	model.PhaseOpen:    onOpen,
	model.PhaseClosing: onClosing,
	model.PhaseClosed:  onClosed,
	model.PhaseIntent:  onIntent,
}

// Step decides what the case asks for. It is a function of the case alone,
// so a new holder goes on where the old one stopped.
func Step(at Case, timing Timing) []any {
	return phases[at.Writer.Phase](at, timing)
}

func (c Case) find(name string) (Sight, bool) {
	for _, sight := range c.Sights {
		if sight.Instance.Name == name {
			return sight, true
		}
	}
	return Sight{}, false
}

func (c Case) live(timing Timing) []Sight {
	var live []Sight
	for _, sight := range c.Sights {
		if sight.Heard <= timing.Silence {
			live = append(live, sight)
		}
	}
	return live
}

func onNew(at Case, timing Timing) []any {
	var primaries []Sight
	for _, sight := range at.live(timing) {
		if sight.Instance.Role == model.RolePrimary {
			primaries = append(primaries, sight)
		}
	}
	if len(primaries) != 1 {
		return nil
	}
	primary := primaries[0].Instance
	writer := model.Writer{
		Database: at.Database, Term: primary.Term, Primary: primary.Name, Birth: primary.Birth, Phase: model.PhaseOpen,
		Since: at.Wall, High: primary.Position, Required: map[string]string{}, Candidates: map[string]string{},
	}
	for _, sight := range at.live(timing) {
		if sight.Instance.Role == model.RoleReplica {
			writer.Required[sight.Instance.Name] = sight.Instance.Birth
		}
	}
	if len(writer.Required) == 0 {
		return nil
	}
	writer.Candidates = maps.Clone(writer.Required)
	return []any{Record{Writer: writer, What: "writer role known", Evidence: fmt.Sprintf("%s announces itself primary of term %d", primary.Name, primary.Term)}}
}

func (c Case) isGone(sight Sight, isSeen bool, timing Timing) (string, bool) {
	if !isSeen {
		return "no node has heard of it", c.Asked > 0 && c.Age > 2*timing.Silence
	}
	if sight.Heard > timing.Silence && sight.Asked > 0 && sight.Silent*2 > sight.Asked {
		return fmt.Sprintf("silent for %d ms, to %d of %d nodes", sight.Heard.Milliseconds(), sight.Silent, sight.Asked), true
	}
	return "", false
}

func onOpen(at Case, timing Timing) []any {
	primary, isSeen := at.find(at.Writer.Primary)
	why, isDown := at.isGone(primary, isSeen, timing)
	if isSeen && at.Writer.Birth != primary.Instance.Birth && primary.Heard <= timing.Silence {
		why, isDown = "came back without its data", true
	}
	if isSeen && primary.Instance.IsLeaving {
		why, isDown = "announces that it is leaving", true
	}
	if isSeen && !isDown && primary.Heard <= timing.Silence && primary.Instance.Role != model.RolePrimary {
		why, isDown = "announces that it is no longer primary", true
	}
	if isDown {
		if len(at.Writer.Candidates) == 0 {
			return explain(at, "primary is gone, and no replica is shown to hold every confirmed commit: nothing is promoted")
		}
		if isSeen && primary.Instance.IsLeaving && len(survivors(at, timing)) == 0 {
			return explain(at, "primary is leaving, and no candidate can be heard")
		}
		writer := model.CloneWriter(at.Writer)
		writer.Phase, writer.Since, writer.Why = model.PhaseClosing, at.Wall, why
		return []any{Record{Writer: writer, What: "term closing", Evidence: why}}
	}
	return tend(at, primary, timing)
}

func survivors(at Case, timing Timing) []Sight {
	var found []Sight
	for _, sight := range at.live(timing) {
		birth, isCandidate := at.Writer.Candidates[sight.Instance.Name]
		isSame := birth == sight.Instance.Birth
		isBehind := sight.Instance.Position.IsBefore(at.Writer.High)
		if isCandidate && isSame && !isBehind && !sight.Instance.IsLeaving && sight.Instance.Name != at.Writer.Primary {
			found = append(found, sight)
		}
	}
	return found
}

func tend(at Case, primary Sight, timing Timing) []any {
	writer := model.CloneWriter(at.Writer)
	fit := map[string]string{}
	canJudge := primary.Heard < timing.Hold && isOneAhead(at, timing)
	for _, sight := range at.Sights {
		instance := sight.Instance
		_, isDown := at.isGone(sight, true, timing)
		isBehind := primary.Instance.Position.Term == instance.Position.Term && instance.Position.Index+timing.Lag < primary.Instance.Position.Index
		isBehind = isBehind || primary.Instance.Position.Term != instance.Position.Term || (canJudge && sight.Lagging > timing.Hold)
		if _, isWaited := writer.Required[instance.Name]; !isWaited {
			isBehind = isBehind || instance.Position.Index+timing.Near < primary.Instance.Position.Index
		}
		if instance.Role == model.RoleReplica && !isDown && !isBehind && !instance.IsLeaving && instance.Name != writer.Primary {
			fit[instance.Name] = instance.Birth
		}
	}
	unfit := ""
	for _, name := range names(writer.Candidates) {
		if fit[name] == writer.Candidates[name] {
			continue
		}
		unfit = name
		if len(writer.Candidates) == 1 {
			break
		}
		delete(writer.Candidates, name)
		return []any{Record{Writer: writer, What: "replica struck as candidate", Evidence: name + " gone, reborn or behind"}}
	}
	for _, name := range names(writer.Required) {
		birth := writer.Required[name]
		if _, isCandidate := writer.Candidates[name]; fit[name] != birth && !isCandidate && len(writer.Required) > 1 {
			delete(writer.Required, name)
			if sight, isSeen := at.find(name); isSeen && canJudge && sight.Lagging > timing.Hold {
				if writer.Shunned == nil {
					writer.Shunned = map[string]int64{}
				}
				writer.Shunned[name] = at.Wall + int64(timing.Shun)
			}
			return []any{Record{Writer: writer, What: "commits no longer wait for a replica", Evidence: name + " gone, reborn or behind"}}
		}
	}
	for _, name := range names(fit) {
		birth := fit[name]
		left := time.Duration(writer.Shunned[name] - at.Wall)
		isShunned := left > 0 && left <= timing.Shun && unfit == ""
		if writer.Required[name] != birth && !isShunned {
			writer.Required[name] = birth
			return []any{Record{Writer: writer, What: "commits wait for a replica", Evidence: name + " is back and near"}}
		}
	}
	if at.IsSettled && at.SettledFor > timing.Patient && !maps.Equal(writer.Required, writer.Candidates) {
		for _, name := range names(writer.Required) {
			birth := writer.Required[name]
			sight, _ := at.find(name)
			isNear := at.HasMark && !sight.Instance.Position.IsBefore(at.Mark) && fit[name] == birth
			if writer.Candidates[name] != birth && isNear {
				if writer.Candidates == nil {
					writer.Candidates = map[string]string{}
				}
				writer.Candidates[name] = birth
				writer.Why = ""
				return []any{Record{Writer: writer, What: "replica may be promoted", Evidence: name + " holds all that was confirmed, and every node waits for it"}}
			}
		}
	}
	if unfit != "" {
		return explain(at, unfit+" is gone or behind, and it alone is shown to hold every confirmed commit")
	}
	return clearWhy(at)
}

func names(set map[string]string) []string { return slices.Sorted(maps.Keys(set)) }

func isOneAhead(at Case, timing Timing) bool {
	for name, birth := range at.Writer.Candidates {
		if sight, isSeen := at.find(name); isSeen && sight.Instance.Birth == birth && sight.Lagging <= timing.Hold/2 {
			return true
		}
	}
	return false
}

func clearWhy(at Case) []any {
	if at.Writer.Why == "" {
		return nil
	}
	writer := model.CloneWriter(at.Writer)
	writer.Why = ""
	return []any{Record{Writer: writer, What: "well again", Evidence: at.Writer.Why}}
}

func explain(at Case, why string) []any {
	if at.Writer.Why == why {
		return nil
	}
	writer := model.CloneWriter(at.Writer)
	writer.Why = why
	return []any{Record{Writer: writer, What: "waiting", Evidence: why}}
}

func onClosing(at Case, _ Timing) []any {
	if !at.IsSettled {
		return nil
	}
	writer := model.CloneWriter(at.Writer)
	writer.Phase, writer.Since = model.PhaseClosed, at.Wall
	return []any{Record{Writer: writer, What: "term closed", Evidence: "every node that may hold a lease has stopped writing there"}}
}

func onClosed(at Case, timing Timing) []any {
	found := survivors(at, timing)
	old, isSeen := at.find(at.Writer.Primary)
	isBack := isSeen && old.Heard <= timing.Silence && old.Instance.Role == model.RolePrimary && old.Instance.Term == at.Writer.Term &&
		old.Instance.Birth == at.Writer.Birth && !old.Instance.IsLeaving && !old.Instance.Position.IsBefore(at.Writer.High)
	if len(found) == 0 && isBack {
		writer := model.CloneWriter(at.Writer)
		writer.Phase, writer.Since, writer.Why = model.PhaseOpen, at.Wall, ""
		return []any{Record{Writer: writer, What: "term opened again", Evidence: old.Instance.Name + " is back with all that was confirmed, and nothing was promoted"}}
	}
	if len(found) == 0 {
		return explain(at, "term is closed, and no replica that can be heard is shown to hold every confirmed commit: nothing is promoted")
	}
	best := slices.MaxFunc(found, func(a, b Sight) int {
		if a.Instance.Position.IsBefore(b.Instance.Position) {
			return -1
		}
		if b.Instance.Position.IsBefore(a.Instance.Position) {
			return 1
		}
		return 0
	}).Instance
	writer := model.CloneWriter(at.Writer)
	writer.Phase, writer.Intent, writer.Since, writer.Calls = model.PhaseIntent, best.Name, at.Wall, 1
	evidence := fmt.Sprintf("%s at %d/%d, confirmed up to %d/%d", best.Name, best.Position.Term, best.Position.Index, at.Writer.High.Term, at.Writer.High.Index)
	return []any{
		Record{Writer: writer, What: "promotion intended", Evidence: evidence},
		Promote{Database: at.Database, Instance: best.Name, Address: best.Address, Term: at.Writer.Term + 1},
	}
}

func onIntent(at Case, timing Timing) []any {
	sight, isSeen := at.find(at.Writer.Intent)
	instance := sight.Instance
	waited := time.Duration(at.Wall - at.Writer.Since)
	isTold := isSeen && sight.Placed < min(waited, timing.Silence)
	if isTold && (instance.Birth != at.Writer.Candidates[at.Writer.Intent] || instance.Position.IsBefore(at.Writer.High)) {
		writer := model.CloneWriter(at.Writer)
		delete(writer.Candidates, at.Writer.Intent)
		writer.Phase, writer.Intent, writer.Calls, writer.Since = model.PhaseClosed, "", 0, at.Wall
		writer.Term = max(writer.Term+1, instance.Term)
		return []any{Record{Writer: writer, What: "intent given up, its term passed over", Evidence: fmt.Sprintf("%s came back without what was confirmed: at %d/%d as %s, confirmed up to %d/%d", instance.Name, instance.Position.Term, instance.Position.Index, instance.Birth, at.Writer.High.Term, at.Writer.High.Index)}}
	}
	isPromoted := isSeen && instance.Role == model.RolePrimary && instance.Term > at.Writer.Term
	if isPromoted && sight.Heard <= timing.Silence {
		writer := model.Writer{
			Database: at.Database, Term: instance.Term, Primary: instance.Name, Birth: instance.Birth, Phase: model.PhaseOpen, Since: at.Wall,
			High: instance.Position, Base: instance.Position, Before: at.Writer.Term, Required: map[string]string{}, Candidates: map[string]string{},
		}
		for _, other := range at.live(timing) {
			if other.Instance.Name != instance.Name && other.Instance.Role == model.RoleReplica && !other.Instance.IsLeaving {
				writer.Required[other.Instance.Name] = other.Instance.Birth
			}
		}
		if len(writer.Required) == 0 {
			return explain(at, "promoted, but no replica can be heard: commits could not be made safe")
		}
		writer.Candidates = maps.Clone(writer.Required)
		return []any{Record{Writer: writer, What: "new term open", Evidence: fmt.Sprintf("%s announces itself primary of term %d", instance.Name, instance.Term)}}
	}
	isStillReplica := isSeen && instance.Role == model.RoleReplica && sight.Heard < timing.Look
	if isStillReplica && waited > timing.Again {
		writer := model.CloneWriter(at.Writer)
		writer.Calls++
		writer.Since = at.Wall
		return []any{
			Record{Writer: writer, What: "promote call made again", Evidence: fmt.Sprintf("%s still announces itself a replica", instance.Name)},
			Promote{Database: at.Database, Instance: instance.Name, Address: instance.Address, Term: at.Writer.Term + 1},
		}
	}
	if !isStillReplica && waited > 2*timing.Again {
		return explain(at, "promotion of "+at.Writer.Intent+" is in doubt until it is heard again: no other is promoted")
	}
	return nil
}
