// Package syncrepl is the machine by which the holder of the duty moves the
// writer role of a synced database, whose instances judge themselves when a
// commit is safe: close the term, hear that every node has dropped the
// primary, ask the replicas for their positions, record the intent, make the
// promote call, learn its outcome by asking, open the new term.
package syncrepl

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

// Sight is what the fleet sees of one instance.
type Sight struct {
	Instance model.Instance
	// Heard is how long ago anybody heard it announce or had its answer.
	Heard time.Duration
	// Tried counts the leased nodes with evidence of it in the last second;
	// Refused and Overdue those to which it refuses connections, or owes an
	// answer for long.
	Tried   int
	Refused int
	Overdue int
	// Answered is the least age of an answer that any of them had.
	Answered time.Duration
	// Blank is for how long no node has had evidence either way.
	Blank time.Duration
}

// Seen is what the holder of the duty itself was told by an instance.
type Seen struct {
	// Age is how long ago the last order was answered, or failed.
	Age time.Duration
	// IsAnswered says that it gave its row; IsBusy that it lives and gave
	// none; IsGone that no instance of that name is there.
	IsAnswered bool
	IsBusy     bool
	IsGone     bool
	Role       string
	Term       uint64
	Position   model.Position
	// IsAfter says that it was asked after the record was settled.
	IsAfter bool
	// Event is the last one that a case of that tenure showed before it was
	// asked.
	Event  uint64
	Tenure string
}

// Call is the outcome of one promote call that the holder made.
type Call struct {
	Instance string
	// Age is how long ago it was made.
	Age time.Duration
	// Status is 0 while, or where, no answer was read.
	Status int
	Fence  uint64
	// IsUnsent says that it never left this machine.
	IsUnsent bool
}

// Case is what the duty's holder decides on. Seen and Calls are its own.
type Case struct {
	Database string
	Self     string
	Writer   model.Writer
	IsKnown  bool
	Stamp    store.Stamp
	Sights   []Sight
	// IsSettled says that every node that may hold a lease has taken up the
	// phase; SettledFor is how long that has been so.
	IsSettled  bool
	SettledFor time.Duration
	// Event numbers what has made the nodes' own reports incomplete: a node
	// that lapsed or was born again, a new control primary. Where Covered is
	// not behind it, Bound lies at or past all that was ever acknowledged.
	Event   uint64
	Covered uint64
	Bound   model.Position
	Tenure  string
	// Age is how long the control primary has gathered reports.
	Age   time.Duration
	Wall  int64
	Seen  map[string]Seen
	Calls []Call
	// IsFenced says that the platform refuses calls of a lower fence than one that
	// it has seen for the database.
	IsFenced bool
}

// IsWhole says whether Bound covers every commit ever acknowledged.
func (c Case) IsWhole() bool { return c.Covered >= c.Event }

// Record is an effect: write this in place of the case's record.
type Record = asyncrepl.Record

// Promote is an effect: make the platform's one call.
type Promote struct {
	Database string
	Instance string
	Holder   string
	Fence    uint64
}

// Ask is an effect: ask an instance for its status.
type Ask struct {
	Instance string
	Address  string
}

// StepDown is an effect: order an instance out of the writer role.
type StepDown struct {
	Instance string
	Address  string
	Term     uint64
}

// Mark is an effect: tell the control primary a position that covers all that
// was acknowledged before an event.
type Mark struct {
	Database string
	Tenure   string
	Event    uint64
	Position model.Position
}

// Timing holds the machine's bounds.
type Timing struct {
	// Live is how lately an instance must have been heard of to be counted on.
	Live time.Duration
	// Known is how long a replica that is not heard of counts as one that may
	// hold what no other does.
	Known time.Duration
	// Gathered is how long reports must have been gathered before they tell
	// against a primary, Settling how long after a term was opened.
	Gathered, Settling time.Duration
	// Refusal, Overdue, Blank and Silence are the ages that suspicion asks for.
	Refusal, Overdue, Blank, Silence time.Duration
	// Look is how lately an answer must have come to be relied on, Soon the
	// pace of asking while a promotion is under way, Idle that of asking at
	// rest.
	Look, Soon, Idle time.Duration
	// Patience is how long the positions of silent replicas are waited for.
	Patience time.Duration
	// Glance is how long the old primary's own answer is waited for.
	Glance time.Duration
	// Again is the pace of repeated calls, Retry that after a refusal for
	// their rate.
	Again, Retry time.Duration
	// Order is the pace of orders to step down.
	Order time.Duration
}

// DefaultTiming gives the project's bounds.
func DefaultTiming() Timing {
	return Timing{
		Live: 3 * time.Second, Known: time.Minute, Gathered: 700 * time.Millisecond, Settling: time.Second,
		Refusal: 300 * time.Millisecond, Overdue: 600 * time.Millisecond, Blank: 2 * time.Second, Silence: 2500 * time.Millisecond,
		Look: 900 * time.Millisecond, Soon: 75 * time.Millisecond, Idle: time.Second,
		Patience: 1200 * time.Millisecond, Glance: 100 * time.Millisecond, Again: 1500 * time.Millisecond, Retry: 300 * time.Millisecond, Order: 500 * time.Millisecond,
	}
}

type phase func(Case, Timing) []any

var phases = map[string]phase{
	"":                 onNew,
	model.PhaseOpen:    onOpen,
	model.PhaseClosing: onClosing,
	model.PhaseClosed:  onClosing,
	model.PhaseIntent:  onIntent,
}

// Step decides what the case asks for. It is a function of the case alone,
// so a new holder goes on where the old one stopped.
func Step(at Case, timing Timing) []any { return phases[at.Writer.Phase](at, timing) }

func (c Case) find(name string) (Sight, bool) {
	for _, sight := range c.Sights {
		if sight.Instance.Name == name {
			return sight, true
		}
	}
	return Sight{}, false
}

func (c Case) heard(sight Sight) time.Duration {
	seen, isSeen := c.Seen[sight.Instance.Name]
	if isSeen && (seen.IsAnswered || seen.IsBusy) {
		return min(sight.Heard, seen.Age)
	}
	return sight.Heard
}

func (c Case) role(sight Sight) string {
	seen := c.Seen[sight.Instance.Name]
	if seen.IsAnswered && seen.Age <= sight.Heard {
		return seen.Role
	}
	return sight.Instance.Role
}

func (c Case) leader(above uint64) (Sight, Seen, bool) {
	var best Sight
	var by Seen
	isFound := false
	for _, sight := range c.Sights {
		seen := c.Seen[sight.Instance.Name]
		isLeader := seen.IsAnswered && seen.Role == model.RolePrimary && seen.Term > above && !sight.Instance.IsGone
		if isLeader && (!isFound || seen.Term > by.Term) {
			best, by, isFound = sight, seen, true
		}
	}
	return best, by, isFound
}

func ask(sight Sight) any {
	return Ask{Instance: sight.Instance.Name, Address: sight.Instance.Address}
}

func (c Case) isDue(name string, pace time.Duration) bool {
	seen, isSeen := c.Seen[name]
	return !isSeen || seen.Age > pace
}

func onNew(at Case, timing Timing) []any {
	var primaries []Sight
	for _, sight := range at.Sights {
		if at.heard(sight) <= timing.Live && at.role(sight) == model.RolePrimary && !sight.Instance.IsGone {
			primaries = append(primaries, sight)
		}
	}
	var asks []any
	best, top := Sight{}, Seen{}
	for _, sight := range primaries {
		seen := at.Seen[sight.Instance.Name]
		if !seen.IsAnswered || seen.Age > timing.Idle {
			if at.isDue(sight.Instance.Name, timing.Soon) {
				asks = append(asks, ask(sight))
			}
			continue
		}
		if seen.Term > top.Term {
			best, top = sight, seen
		}
	}
	if top.Term == 0 || len(asks) > 0 {
		return asks
	}
	for _, sight := range primaries {
		if seen := at.Seen[sight.Instance.Name]; !seen.IsAnswered || seen.Age > timing.Idle {
			return asks
		}
	}
	writer := model.Writer{
		Database: at.Database, Term: top.Term, Primary: best.Instance.Name, Phase: model.PhaseOpen, Since: at.Wall,
		IsSynced: true, Base: top.Position, Required: replicas(at, best.Instance.Name, timing),
	}
	return []any{Record{Writer: writer, What: "writer role known", Evidence: fmt.Sprintf("%s says it is primary of term %d", best.Instance.Name, top.Term)}}
}

func replicas(at Case, primary string, timing Timing) map[string]string {
	set := map[string]string{}
	for _, sight := range at.Sights {
		if sight.Instance.Name != primary && at.heard(sight) <= timing.Known && !sight.Instance.IsGone {
			set[sight.Instance.Name] = ""
		}
	}
	return set
}

func (c Case) isWritten(timing Timing) bool {
	since := time.Duration(c.Wall - c.Writer.Since)
	return c.Age > timing.Gathered && (since > timing.Settling || since < 0)
}

type suspicion func(at Case, primary Sight, timing Timing) (why string, isSo bool)

var suspicions = []suspicion{
	func(_ Case, primary Sight, _ Timing) (string, bool) {
		return "says that it is leaving", primary.Instance.IsLeaving
	},
	func(_ Case, primary Sight, _ Timing) (string, bool) { return "is gone", primary.Instance.IsGone },
	func(at Case, _ Sight, _ Timing) (string, bool) {
		leader, seen, isOther := at.leader(at.Writer.Term)
		return fmt.Sprintf("%s says it is primary of term %d", leader.Instance.Name, seen.Term), isOther
	},
	func(at Case, primary Sight, timing Timing) (string, bool) {
		seen := at.Seen[primary.Instance.Name]
		return "says that it is a replica", seen.IsAnswered && seen.Age < timing.Look && seen.Role == model.RoleReplica
	},
	func(at Case, primary Sight, timing Timing) (string, bool) {
		isSo := primary.Refused*2 > primary.Tried && primary.Answered > timing.Refusal && at.isWritten(timing)
		return fmt.Sprintf("refuses %d of %d nodes", primary.Refused, primary.Tried), isSo
	},
	func(at Case, primary Sight, timing Timing) (string, bool) {
		isSo := primary.Overdue*2 > primary.Tried && primary.Answered > timing.Overdue && at.isWritten(timing)
		return fmt.Sprintf("owes answers to %d of %d nodes", primary.Overdue, primary.Tried), isSo
	},
	func(at Case, primary Sight, timing Timing) (string, bool) {
		seen, isSeen := at.Seen[primary.Instance.Name]
		isDown := isSeen && seen.Age < timing.Idle && !seen.IsAnswered && !seen.IsBusy
		return "no node has evidence of it, it announces nothing and answers no status", isDown && at.isQuiet(primary, timing)
	},
}

func (c Case) isQuiet(primary Sight, timing Timing) bool {
	return primary.Tried == 0 && primary.Blank > timing.Blank && c.heard(primary) > timing.Silence && c.isWritten(timing)
}

func onOpen(at Case, timing Timing) []any {
	primary, isMet := at.find(at.Writer.Primary)
	why, isSuspect := "no node has heard of it", !isMet && at.Age > timing.Live
	for _, suspect := range suspicions {
		if reason, isSo := suspect(at, primary, timing); isMet && isSo && !isSuspect {
			why, isSuspect = reason, true
		}
	}
	if !isSuspect {
		return tend(at, primary, isMet, timing)
	}
	if !hasOther(at, timing) {
		return explain(at, fmt.Sprintf("%s %s, and no other instance can be heard", at.Writer.Primary, why))
	}
	writer := model.CloneWriter(at.Writer)
	writer.Phase, writer.Since, writer.Why = model.PhaseClosing, at.Wall, at.Writer.Primary+" "+why
	return []any{Record{Writer: writer, What: "term closing", Evidence: writer.Why}}
}

func hasOther(at Case, timing Timing) bool {
	return slices.ContainsFunc(at.Sights, func(sight Sight) bool {
		instance := sight.Instance
		return instance.Name != at.Writer.Primary && !instance.IsLeaving && !instance.IsGone && at.heard(sight) <= timing.Live
	})
}

func tend(at Case, primary Sight, isMet bool, timing Timing) []any {
	var effects []any
	for _, sight := range at.Sights {
		effects = append(effects, rivals(at, sight, timing)...)
	}
	name := at.Writer.Primary
	seen := at.Seen[name]
	isTelling := seen.IsAnswered && seen.Role == model.RolePrimary && seen.Term == at.Writer.Term
	isTelling = isTelling && seen.Event >= at.Event && seen.Tenure == at.Tenure
	if !at.IsWhole() && isTelling {
		effects = append(effects, Mark{Database: at.Database, Tenure: at.Tenure, Event: at.Event, Position: seen.Position})
	}
	isWanted := !at.IsWhole() && !isTelling
	isDoubted := at.isQuiet(primary, timing) || at.role(primary) == model.RoleReplica
	if isMet && (isWanted || isDoubted) && at.isDue(name, timing.Idle) {
		effects = append(effects, ask(primary))
	}
	known := known(at, timing)
	if !maps.Equal(known, at.Writer.Required) {
		writer := model.CloneWriter(at.Writer)
		writer.Required = known
		return append(effects, Record{Writer: writer, What: "replicas known", Evidence: fmt.Sprint(slices.Sorted(maps.Keys(known)))})
	}
	if at.Writer.Why != "" {
		writer := model.CloneWriter(at.Writer)
		writer.Why = ""
		return append(effects, Record{Writer: writer, What: "well again", Evidence: at.Writer.Why})
	}
	return effects
}

func known(at Case, timing Timing) map[string]string {
	set := replicas(at, at.Writer.Primary, timing)
	for name := range at.Writer.Required {
		sight, isMet := at.find(name)
		isForgotten := at.IsWhole() && at.Age > timing.Known && (!isMet || at.heard(sight) > timing.Known)
		if !isForgotten && name != at.Writer.Primary {
			set[name] = ""
		}
	}
	return set
}

func rivals(at Case, sight Sight, timing Timing) []any {
	name := sight.Instance.Name
	isRival := name != at.Writer.Primary && !sight.Instance.IsGone && at.role(sight) == model.RolePrimary && at.heard(sight) <= timing.Live
	if !isRival || !at.isDue(name, timing.Order) {
		return nil
	}
	if at.Seen[name].IsAnswered && at.Seen[name].Term < at.Writer.Term {
		return []any{StepDown{Instance: name, Address: sight.Instance.Address, Term: at.Writer.Term}}
	}
	return []any{ask(sight)}
}

func explain(at Case, why string) []any {
	if at.Writer.Why == why {
		return nil
	}
	writer := model.CloneWriter(at.Writer)
	writer.Why = why
	return []any{Record{Writer: writer, What: "waiting", Evidence: why}}
}

func opened(at Case, instance string, seen Seen, why string, timing Timing) any {
	writer := model.Writer{
		Database: at.Database, Term: seen.Term, Primary: instance, Phase: model.PhaseOpen, Since: at.Wall, IsSynced: true,
		Before: at.Writer.Term, Base: seen.Position, High: at.Writer.High.Later(at.Writer.Floor),
		Holder: at.Writer.Holder, Fence: at.Writer.Fence, Required: replicas(at, instance, timing),
	}
	return Record{Writer: writer, What: "new term open", Evidence: why}
}

type asking struct {
	effects   []any
	silent    []string
	lost      []string
	answered  []Sight
	positions map[string]model.Position
}

func (c Case) poll(timing Timing) asking {
	found := asking{positions: map[string]model.Position{}}
	names := maps.Clone(c.Writer.Required)
	if names == nil {
		names = map[string]string{}
	}
	for _, sight := range c.Sights {
		if (sight.Instance.Name == c.Writer.Primary && !sight.Instance.IsGone) || (c.heard(sight) <= timing.Known && !sight.Instance.IsGone) {
			names[sight.Instance.Name] = ""
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		sight, isMet := c.find(name)
		seen := c.Seen[name]
		isDue := c.isDue(name, timing.Retry) || (!seen.IsAfter && c.isDue(name, 0))
		if isMet && !sight.Instance.IsGone && !seen.IsGone && isDue {
			found.effects = append(found.effects, ask(sight))
		}
		if isMet && !sight.Instance.IsGone && seen.IsAfter && seen.IsAnswered && seen.Role == model.RoleReplica {
			found.answered = append(found.answered, sight)
			found.positions[name] = seen.Position
			continue
		}
		if name == c.Writer.Primary {
			continue
		}
		if seen.IsGone || sight.Instance.IsGone || !isMet {
			found.lost = append(found.lost, name)
			continue
		}
		found.silent = append(found.silent, name)
	}
	return found
}

func onClosing(at Case, timing Timing) []any {
	if !at.IsSettled {
		return nil
	}
	if leader, seen, isOther := at.leader(at.Writer.Term); isOther && seen.IsAfter {
		return []any{opened(at, leader.Instance.Name, seen, fmt.Sprintf("%s says it is primary of term %d", leader.Instance.Name, seen.Term), timing)}
	}
	found := at.poll(timing)
	old, isMet := at.find(at.Writer.Primary)
	seen, isSeen := at.Seen[at.Writer.Primary]
	isStaying := isMet && !old.Instance.IsLeaving && !old.Instance.IsGone
	isBack := isStaying && seen.IsAfter && seen.IsAnswered && seen.Role == model.RolePrimary && seen.Term == at.Writer.Term
	if isBack {
		writer := model.CloneWriter(at.Writer)
		writer.Phase, writer.Since, writer.Why = model.PhaseOpen, at.Wall, ""
		return []any{Record{Writer: writer, What: "term opened again", Evidence: at.Writer.Primary + " answers as primary, and nothing was promoted"}}
	}
	isOldAsked := !isStaying || (isSeen && seen.IsAfter) || at.SettledFor > timing.Glance
	isWaiting := len(found.silent) > 0 && at.SettledFor <= timing.Patience
	if !isOldAsked || isWaiting {
		return found.effects
	}
	pick, why, isProven := at.pick(found, timing)
	if !isProven {
		return append(found.effects, explain(at, why)...)
	}
	writer := model.CloneWriter(at.Writer)
	writer.Phase, writer.Intent, writer.Since, writer.Calls, writer.Floor = model.PhaseIntent, pick.Instance.Name, at.Wall, 1, found.positions[pick.Instance.Name]
	return calling(at, writer, "promotion intended", why)
}

func calling(at Case, writer model.Writer, what, why string) []any {
	isNew := at.Writer.Phase != model.PhaseIntent
	if isNew || writer.Holder != at.Self || at.IsFenced {
		writer.Fence++
		writer.Holder = at.Self
	}
	return []any{
		Record{Writer: writer, What: what, Evidence: why},
		Promote{Database: at.Database, Instance: writer.Intent, Holder: writer.Holder, Fence: writer.Fence},
	}
}

// ceiling gives a position at or past all that was acknowledged, where the
// old primary itself, or the instance that has its log by now, told its own
// after the nodes had dropped it.
func (c Case) ceiling() (model.Position, bool) {
	highest, isTold := model.Position{}, false
	for _, seen := range c.Seen {
		isLeading := seen.IsAnswered && seen.Role == model.RolePrimary && seen.Term == c.Writer.Term
		if c.IsSettled && seen.IsAfter && isLeading {
			highest, isTold = highest.Later(seen.Position), true
		}
	}
	return highest, isTold
}

func (c Case) pick(found asking, timing Timing) (Sight, string, bool) {
	if len(found.answered) == 0 {
		return Sight{}, "term is closed, and no replica answers: nothing is promoted", false
	}
	furthest := func(list []Sight) Sight {
		return slices.MaxFunc(list, func(a, b Sight) int {
			return compare(found.positions[a.Instance.Name], found.positions[b.Instance.Name])
		})
	}
	isAll := len(found.silent) == 0 && len(found.lost) == 0
	ceiling, isTold := c.ceiling()
	isProven := func(sight Sight) bool {
		position := found.positions[sight.Instance.Name]
		isFurthest := !position.IsBefore(found.positions[furthest(found.answered).Instance.Name])
		isPast := !position.IsBefore(c.Writer.High)
		isCovering := isTold && !position.IsBefore(ceiling)
		return isPast && ((isAll && isFurthest) || (c.IsWhole() && !position.IsBefore(c.Bound)) || isCovering)
	}
	best := furthest(found.answered)
	staying := slices.DeleteFunc(slices.Clone(found.answered), func(sight Sight) bool { return sight.Instance.IsLeaving })
	if len(staying) > 0 {
		other := furthest(staying)
		if isProven(other) {
			best = other
		}
		if !isProven(other) && c.SettledFor < timing.Patience {
			return Sight{}, "a replica that stays is behind one that leaves", false
		}
	}
	position := found.positions[best.Instance.Name]
	evidence := fmt.Sprintf("%s received %d.%d; heard %d, silent %v, gone %v; acknowledged up to %d.%d, whole %t", best.Instance.Name,
		position.Term, position.Index, len(found.answered), found.silent, found.lost, c.Bound.Term, c.Bound.Index, c.IsWhole())
	if isProven(best) {
		return best, evidence, true
	}
	return Sight{}, fmt.Sprintf("term is closed, and no replica is shown to hold all that was acknowledged (silent %v, gone %v): nothing is promoted", found.silent, found.lost), false
}

func compare(a, b model.Position) int {
	if a.IsBefore(b) {
		return -1
	}
	if b.IsBefore(a) {
		return 1
	}
	return 0
}

const (
	statusDone     = 200
	statusConflict = 409
	statusTooMany  = 429
)

func onIntent(at Case, timing Timing) []any {
	if leader, seen, isOther := at.leader(at.Writer.Term); isOther {
		return []any{opened(at, leader.Instance.Name, seen, fmt.Sprintf("%s says it is primary of term %d", leader.Instance.Name, seen.Term), timing)}
	}
	var effects []any
	for _, sight := range at.Sights {
		name := sight.Instance.Name
		isRisen := name != at.Writer.Primary && at.role(sight) == model.RolePrimary && at.heard(sight) <= timing.Live
		if (name == at.Writer.Intent || isRisen) && at.isDue(name, timing.Soon) && !at.Seen[name].IsGone {
			effects = append(effects, ask(sight))
		}
	}
	sight, isMet := at.find(at.Writer.Intent)
	seen, isSeen := at.Seen[at.Writer.Intent]
	waited := time.Duration(at.Wall - at.Writer.Since)
	isGone := (isMet && sight.Instance.IsGone) || seen.IsGone
	isDown := isSeen && !seen.IsAnswered && !seen.IsBusy
	if isGone || (isDown && at.isOver(timing)) {
		writer := model.CloneWriter(at.Writer)
		writer.Phase, writer.Intent, writer.Calls, writer.Since, writer.Floor = model.PhaseClosing, "", 0, at.Wall, model.Position{}
		return []any{Record{Writer: writer, What: "intent given up", Evidence: at.Writer.Intent + " is not running, and no call for it can take effect"}}
	}
	isReplica := seen.IsAnswered && seen.Role == model.RoleReplica && seen.Age < timing.Look
	isThrottled := len(at.Calls) > 0 && at.Calls[len(at.Calls)-1].Status == statusTooMany
	isNext := waited > timing.Again || waited < 0 || (isThrottled && waited > timing.Retry)
	if isNext && (isReplica || isDown || isThrottled) {
		writer := model.CloneWriter(at.Writer)
		writer.Calls++
		writer.Since = at.Wall
		return append(effects, calling(at, writer, "promote call made again", at.Writer.Intent+" does not lead yet")...)
	}
	if waited > 2*timing.Again && !isReplica {
		return append(effects, explain(at, "promotion of "+at.Writer.Intent+" is in doubt until it is heard again: no other is promoted")...)
	}
	return effects
}

// isOver says that no call for the intended instance, which is not running, can
// take effect any more.
func (c Case) isOver(timing Timing) bool {
	last, isRefused := Call{}, false
	for _, call := range c.Calls {
		if call.Instance == c.Writer.Intent && call.Status == statusConflict {
			last, isRefused = call, true
		}
	}
	isBarred := c.IsFenced && isRefused && last.Fence == c.Writer.Fence
	isOpen := func(call Call) bool {
		if call.Instance != c.Writer.Intent {
			return true
		}
		isPast := call.Status == statusDone && isRefused && call.Age >= last.Age+timing.Again
		isBelow := isBarred && call.Status != statusDone && call.Fence < last.Fence
		return !call.IsUnsent && !isPast && !isBelow && call.Status != statusConflict
	}
	isKnown := isBarred || len(c.Calls) >= c.Writer.Calls
	return len(c.Calls) > 0 && isKnown && !slices.ContainsFunc(c.Calls, isOpen)
}
