package modelcheck

import (
	"crypto/sha256"
	"encoding/binary"
	"reflect"
	"slices"
	"sync"
	"time"

	"tansyseam/internal/coordination/consensus"
)

// Key names a state: what is equal has equal keys.
type Key [16]byte

// What makes no difference to what a machine does next: clocks of day, counters
// of files, what the fleet was founded by.
var ignoredFields = map[string]bool{
	"Machine.clock":         true,
	"Machine.tableSequence": true, "Machine.effects": true, "Machine.peers": true, "Machine.peersByAddress": true, "Machine.enoughPeersSince": true,
	"Machine.bootstrap": true, "Machine.timing": true, "RenewLeaseAck.WallNanos": true,
	"VoterState.Sequence": true, "Identity.Cluster": true, "Identity.Voters": true,
	"SyncGate.lastIssued": true, "SyncGate.lastSynced": true,
}

// Numbers of saves count from the last one synced.
var relativeFields = map[string]bool{"SyncGate.lastVoterStateTask": true, "syncTask.number": true, "blockedEffect.requiredSync": true}

// Past this far, a moment that has been is as any other: no bound of the machine
// reaches back further.
const momentHorizon = 3 * time.Second

type encoder struct {
	data       []byte
	now        time.Duration
	lastSynced uint64
}

func (p *encoder) number(value uint64) { p.data = binary.BigEndian.AppendUint64(p.data, value) }

func (p *encoder) text(value string) {
	p.number(uint64(len(value)))
	p.data = append(p.data, value...)
}

func (p *encoder) flag(is bool) {
	p.data = append(p.data, map[bool]byte{true: 1}[is])
}

func (p *encoder) moment(at time.Duration) {
	if at == 0 {
		p.data = append(p.data, 'z')
		return
	}
	p.number(uint64(max(at-p.now, -momentHorizon)))
}

type structPlan struct {
	name             string
	syncGate, save   bool
	relative, fields []int
}

// plans is filled by one search at a time, or by several at once.
var structPlans sync.Map

func structPlanOf(kind reflect.Type) *structPlan {
	if held, isHeld := structPlans.Load(kind); isHeld {
		return held.(*structPlan)
	}
	made := &structPlan{name: kind.Name(), syncGate: kind == syncGateType, save: kind == reflect.TypeFor[consensus.Save]()}
	for at := range kind.NumField() {
		name := kind.Name() + "." + kind.Field(at).Name
		if relativeFields[name] {
			made.relative = append(made.relative, at)
		}
		if !relativeFields[name] && !ignoredFields[name] {
			made.fields = append(made.fields, at)
		}
	}
	structPlans.Store(kind, made)
	return made
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	uint64Type   = reflect.TypeFor[uint64]()
	syncGateType = reflect.TypeFor[consensus.SyncGate]()
	encoders     map[reflect.Kind]func(p *encoder, value reflect.Value)
)

func init() {
	integer := func(p *encoder, value reflect.Value) {
		if value.Type() == durationType {
			p.moment(time.Duration(value.Int()))
			return
		}
		p.number(uint64(value.Int()))
	}
	list := func(p *encoder, value reflect.Value) {
		p.number(uint64(value.Len()))
		for at := range value.Len() {
			p.walk(value.Index(at))
		}
	}
	behind := func(p *encoder, value reflect.Value) {
		p.flag(value.IsNil())
		if !value.IsNil() {
			p.walk(value.Elem())
		}
	}
	encoders = map[reflect.Kind]func(p *encoder, value reflect.Value){
		reflect.Bool:      func(p *encoder, value reflect.Value) { p.flag(value.Bool()) },
		reflect.String:    func(p *encoder, value reflect.Value) { p.text(value.String()) },
		reflect.Int:       integer,
		reflect.Int64:     integer,
		reflect.Uint64:    func(p *encoder, value reflect.Value) { p.number(value.Uint()) },
		reflect.Uint8:     func(p *encoder, value reflect.Value) { p.data = append(p.data, byte(value.Uint())) },
		reflect.Array:     list,
		reflect.Slice:     list,
		reflect.Pointer:   behind,
		reflect.Interface: behind,
		reflect.Func:      func(*encoder, reflect.Value) {},
		reflect.Map: func(p *encoder, value reflect.Value) {
			keys := value.MapKeys()
			slices.SortFunc(keys, func(a, b reflect.Value) int { return compare(a, b) })
			p.number(uint64(len(keys)))
			for _, key := range keys {
				p.walk(key)
				p.walk(value.MapIndex(key))
			}
		},
		reflect.Struct: func(p *encoder, value reflect.Value) {
			plan := structPlanOf(value.Type())
			p.text(plan.name)
			if plan.syncGate {
				p.lastSynced = value.FieldByName("lastSynced").Uint()
			}
			if plan.save {
				p.save(value.FieldByName("Kind").String(), value.FieldByName("Data").Bytes())
				return
			}
			for _, at := range plan.relative {
				p.number(max(value.Field(at).Uint(), p.lastSynced) - p.lastSynced)
			}
			for _, at := range plan.fields {
				p.walk(value.Field(at))
			}
		},
	}
}

func compare(a, b reflect.Value) int {
	if a.Type() == uint64Type {
		return int(a.Uint()) - int(b.Uint())
	}
	return map[bool]int{true: -1, false: 1}[a.String() < b.String()]
}

// save writes what a table's file holds, since its bytes are in no order.
func (p *encoder) save(kind string, data []byte) {
	p.text(kind)
	if kind != consensus.FileTable {
		p.text(string(data))
		return
	}
	held, err := consensus.DecodeTable(data)
	must(err)
	p.value(held)
}

func (p *encoder) walk(value reflect.Value) { encoders[value.Kind()](p, value) }

func (p *encoder) value(value any) { p.walk(reflect.ValueOf(value)) }

func (p *encoder) key() Key {
	sum := sha256.Sum256(p.data)
	return Key(sum[:16])
}

func (p *encoder) message(one message) {
	p.text(one.from)
	p.text(one.to)
	p.value(one.body)
}
