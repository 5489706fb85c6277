package modelcheck

import (
	"crypto/sha256"
	"encoding/binary"
	"reflect"
	"slices"
	"sync"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/state/store"
)

// Key names a state: what is equal has equal keys.
type Key [16]byte

// What makes no difference to what a machine does next: clocks of day, counters
// of files, what the fleet was founded by.
var unseen = map[string]bool{
	"Machine.wall": true, "Machine.wallAt": true, "Machine.walls": true, "Machine.offset": true, "Machine.isSure": true,
	"Machine.copies": true, "Machine.effects": true, "Machine.peers": true, "Machine.links": true, "Machine.many": true,
	"Machine.founding": true, "Machine.timing": true, "RenewAck.Wall": true,
	"Ballots.Sequence": true, "Identity.Cluster": true, "Identity.Voters": true,
	"Gate.issued": true, "Gate.synced": true,
}

// Numbers of saves count from the last one synced.
var sinceSync = map[string]bool{"Gate.votes": true, "task.number": true, "held.after": true}

// Past this far, a moment that has been is as any other: no bound of the machine
// reaches back further.
const past = 3 * time.Second

type printer struct {
	data []byte
	now  time.Duration
	base uint64
}

func (p *printer) number(value uint64) { p.data = binary.BigEndian.AppendUint64(p.data, value) }

func (p *printer) text(value string) {
	p.number(uint64(len(value)))
	p.data = append(p.data, value...)
}

func (p *printer) flag(is bool) {
	p.data = append(p.data, map[bool]byte{true: 1}[is])
}

func (p *printer) moment(at time.Duration) {
	if at == 0 {
		p.data = append(p.data, 'z')
		return
	}
	p.number(uint64(max(at-p.now, -past)))
}

type plan struct {
	name            string
	isGate, isSave  bool
	sinceSync, seen []int
}

// plans is filled by one search at a time, or by several at once.
var plans sync.Map

func planOf(kind reflect.Type) *plan {
	if held, isHeld := plans.Load(kind); isHeld {
		return held.(*plan)
	}
	made := &plan{name: kind.Name(), isGate: kind == gateKind, isSave: kind == reflect.TypeFor[consensus.Save]()}
	for at := range kind.NumField() {
		name := kind.Name() + "." + kind.Field(at).Name
		if sinceSync[name] {
			made.sinceSync = append(made.sinceSync, at)
		}
		if !sinceSync[name] && !unseen[name] {
			made.seen = append(made.seen, at)
		}
	}
	plans.Store(kind, made)
	return made
}

var (
	durationKind = reflect.TypeFor[time.Duration]()
	stampsKind   = reflect.TypeFor[uint64]()
	gateKind     = reflect.TypeFor[consensus.Gate]()
	walks        map[reflect.Kind]func(p *printer, value reflect.Value)
)

func init() {
	integer := func(p *printer, value reflect.Value) {
		if value.Type() == durationKind {
			p.moment(time.Duration(value.Int()))
			return
		}
		p.number(uint64(value.Int()))
	}
	list := func(p *printer, value reflect.Value) {
		p.number(uint64(value.Len()))
		for at := range value.Len() {
			p.walk(value.Index(at))
		}
	}
	behind := func(p *printer, value reflect.Value) {
		p.flag(value.IsNil())
		if !value.IsNil() {
			p.walk(value.Elem())
		}
	}
	walks = map[reflect.Kind]func(p *printer, value reflect.Value){
		reflect.Bool:      func(p *printer, value reflect.Value) { p.flag(value.Bool()) },
		reflect.String:    func(p *printer, value reflect.Value) { p.text(value.String()) },
		reflect.Int:       integer,
		reflect.Int64:     integer,
		reflect.Uint64:    func(p *printer, value reflect.Value) { p.number(value.Uint()) },
		reflect.Uint8:     func(p *printer, value reflect.Value) { p.data = append(p.data, byte(value.Uint())) },
		reflect.Array:     list,
		reflect.Slice:     list,
		reflect.Pointer:   behind,
		reflect.Interface: behind,
		reflect.Func:      func(*printer, reflect.Value) {},
		reflect.Map: func(p *printer, value reflect.Value) {
			keys := value.MapKeys()
			slices.SortFunc(keys, func(a, b reflect.Value) int { return compare(a, b) })
			p.number(uint64(len(keys)))
			for _, key := range keys {
				p.walk(key)
				p.walk(value.MapIndex(key))
			}
		},
		reflect.Struct: func(p *printer, value reflect.Value) {
			plan := planOf(value.Type())
			p.text(plan.name)
			if plan.isGate {
				p.base = value.FieldByName("synced").Uint()
			}
			if plan.isSave {
				p.save(value.FieldByName("Kind").String(), value.FieldByName("Data").Bytes())
				return
			}
			for _, at := range plan.sinceSync {
				p.number(max(value.Field(at).Uint(), p.base) - p.base)
			}
			for _, at := range plan.seen {
				p.walk(value.Field(at))
			}
		},
	}
}

func compare(a, b reflect.Value) int {
	if a.Type() == stampsKind {
		return int(a.Uint()) - int(b.Uint())
	}
	return map[bool]int{true: -1, false: 1}[a.String() < b.String()]
}

// save writes what a table's file holds, since its bytes are in no order.
func (p *printer) save(kind string, data []byte) {
	p.text(kind)
	if kind != consensus.FileTable {
		p.text(string(data))
		return
	}
	held := store.New()
	must(store.Decode(data, held))
	p.value(held)
}

func (p *printer) walk(value reflect.Value) { walks[value.Kind()](p, value) }

func (p *printer) value(value any) { p.walk(reflect.ValueOf(value)) }

func (p *printer) key() Key {
	sum := sha256.Sum256(p.data)
	return Key(sum[:16])
}

func (p *printer) message(one message) {
	p.text(one.from)
	p.text(one.to)
	p.value(one.body)
}
