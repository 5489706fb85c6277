package modelcheck

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"reflect"
	"slices"
	"sync"
	"time"

	"tansyseam/internal/coordination/consensus"
)

// Key is the hash of a state. Equal states have equal keys.
type Key [16]byte

// ignoredFields are the fields that are left out of a state's key. They affect only
// wall clock times, file sequence numbers and the origin of the cluster, but no other
// behavior of a machine.
var ignoredFields = map[string]bool{
	"Machine.clock":           true,
	"replica.fileSequence":    true,
	"Machine.effects":         true,
	"peerSet.names":           true,
	"peerSet.byAddress":       true,
	"peerSet.enoughSince":     true,
	"Machine.bootstrap":       true,
	"Machine.timing":          true,
	"RenewLeaseAck.WallNanos": true,
	"VoterState.Sequence":     true,
	"Identity.Cluster":        true,
	"Identity.Voters":         true,
	"SyncGate.lastIssued":     true,
	"SyncGate.lastSynced":     true,
}

// relativeFields are numbers of disk tasks. They are encoded relative to the last
// synced task.
var relativeFields = map[string]bool{
	"SyncGate.lastVoterStateTask": true,
	"syncTask.number":             true,
	"blockedEffect.requiredSync":  true,
}

// momentHorizon is the age beyond which moments are encoded alike, because no
// duration that the machine uses is longer.
const momentHorizon = 3 * time.Second

// encoder encodes a state. Moments are encoded relative to now, so that states at
// different times that behave alike have equal encodings.
type encoder struct {
	data []byte
	now  time.Duration
	// lastSynced is the number of the last synced task of the SyncGate that is being
	// encoded.
	lastSynced uint64
}

func (e *encoder) key() Key {
	sum := sha256.Sum256(e.data)
	return Key(sum[:len(Key{})])
}

func (e *encoder) number(value uint64) { e.data = binary.BigEndian.AppendUint64(e.data, value) }

func (e *encoder) text(value string) {
	e.number(uint64(len(value)))
	e.data = append(e.data, value...)
}

func (e *encoder) flag(value bool) {
	bit := byte(0)
	if value {
		bit = 1
	}
	e.data = append(e.data, bit)
}

func (e *encoder) moment(at time.Duration) {
	if at == 0 {
		e.data = append(e.data, 'z')
		return
	}
	e.number(uint64(max(at-e.now, -momentHorizon)))
}

func (e *encoder) messages(list []message) {
	e.number(uint64(len(list)))
	for _, sent := range list {
		e.text(sent.from)
		e.text(sent.to)
		e.value(sent.body)
	}
}

func (e *encoder) value(value any) { e.reflected(reflect.ValueOf(value)) }

// encoders holds the function that encodes values of each kind. It is set by init,
// because the functions refer to encoders themselves.
var encoders map[reflect.Kind]func(e *encoder, value reflect.Value)

func init() {
	encoders = map[reflect.Kind]func(e *encoder, value reflect.Value){
		reflect.Bool:      func(e *encoder, value reflect.Value) { e.flag(value.Bool()) },
		reflect.String:    func(e *encoder, value reflect.Value) { e.text(value.String()) },
		reflect.Int:       (*encoder).integer,
		reflect.Int64:     (*encoder).integer,
		reflect.Uint64:    func(e *encoder, value reflect.Value) { e.number(value.Uint()) },
		reflect.Uint8:     func(e *encoder, value reflect.Value) { e.data = append(e.data, byte(value.Uint())) },
		reflect.Array:     (*encoder).list,
		reflect.Slice:     (*encoder).list,
		reflect.Pointer:   (*encoder).pointer,
		reflect.Interface: (*encoder).pointer,
		reflect.Func:      func(*encoder, reflect.Value) {},
		reflect.Map:       (*encoder).mapping,
		reflect.Struct:    (*encoder).structure,
	}
}

func (e *encoder) reflected(value reflect.Value) { encoders[value.Kind()](e, value) }

func (e *encoder) integer(value reflect.Value) {
	if value.Type() == durationType {
		e.moment(time.Duration(value.Int()))
		return
	}
	e.number(uint64(value.Int()))
}

func (e *encoder) list(value reflect.Value) {
	e.number(uint64(value.Len()))
	for index := range value.Len() {
		e.reflected(value.Index(index))
	}
}

func (e *encoder) pointer(value reflect.Value) {
	e.flag(value.IsNil())
	if !value.IsNil() {
		e.reflected(value.Elem())
	}
}

// mapping encodes a map in the order of its keys, which are strings or numbers.
func (e *encoder) mapping(value reflect.Value) {
	keys := value.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int {
		if a.Type() == uint64Type {
			return cmp.Compare(a.Uint(), b.Uint())
		}
		return cmp.Compare(a.String(), b.String())
	})
	e.number(uint64(len(keys)))
	for _, key := range keys {
		e.reflected(key)
		e.reflected(value.MapIndex(key))
	}
}

func (e *encoder) structure(value reflect.Value) {
	plan := structPlanOf(value.Type())
	e.text(plan.name)
	if value.Type() == syncGateType {
		e.lastSynced = value.FieldByName("lastSynced").Uint()
	}
	if value.Type() == saveType {
		e.save(value.FieldByName("Kind").String(), value.FieldByName("Data").Bytes())
		return
	}
	for _, index := range plan.relative {
		e.number(max(value.Field(index).Uint(), e.lastSynced) - e.lastSynced)
	}
	for _, index := range plan.fields {
		e.reflected(value.Field(index))
	}
}

// save encodes the data of a file. The file of a table is decoded first, because its
// bytes are in no fixed order.
func (e *encoder) save(kind string, data []byte) {
	e.text(kind)
	if kind != consensus.FileTable {
		e.text(string(data))
		return
	}
	e.value(must(consensus.DecodeTable(data)))
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	uint64Type   = reflect.TypeFor[uint64]()
	syncGateType = reflect.TypeFor[consensus.SyncGate]()
	saveType     = reflect.TypeFor[consensus.Save]()
)

// structPlan holds the indexes of the fields of a struct type that are encoded.
type structPlan struct {
	name             string
	relative, fields []int
}

// structPlans holds the plans by type. Concurrent searches share it.
var structPlans sync.Map

func structPlanOf(typ reflect.Type) *structPlan {
	if plan, cached := structPlans.Load(typ); cached {
		return plan.(*structPlan)
	}
	plan := &structPlan{name: typ.Name()}
	for index := range typ.NumField() {
		name := typ.Name() + "." + typ.Field(index).Name
		if relativeFields[name] {
			plan.relative = append(plan.relative, index)
		}
		if !relativeFields[name] && !ignoredFields[name] {
			plan.fields = append(plan.fields, index)
		}
	}
	structPlans.Store(typ, plan)
	return plan
}
