package control

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/protocol/bindings"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func (c *Control) serveCalls() {
	passes := []string{"/v1/bindings/put", "/v1/changes/book", "/v1/changes/list", "/v1/bindings/list", "/v1/manifest/replace", "/v1/manifest/fetch"}
	for _, path := range passes {
		c.node.Serve(path, func(_ *fastjson.Value, raw []byte, _ *http.Request) (int, any) { return c.node.Pass(path, raw) })
	}
	c.node.Serve("/v1/fleet", func(*fastjson.Value, []byte, *http.Request) (int, any) { return http.StatusOK, c.query("fleet") })
	c.node.Serve("/v1/vitals", func(*fastjson.Value, []byte, *http.Request) (int, any) {
		isReady, why := c.ready()
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return http.StatusOK, map[string]any{
			"node": c.node.Place().Name, "is_ready": isReady, "why": why, "epoch": c.steer.Record().Epoch,
			"primary": c.steer.Record().Primary, "backup": c.steer.Record().Backup, "sequence": c.held.Sequence,
		}
	})
	c.node.Serve("/v1/ready", func(*fastjson.Value, []byte, *http.Request) (int, any) {
		isReady, why := c.ready()
		status := http.StatusOK
		if !isReady {
			status = http.StatusServiceUnavailable
		}
		return status, map[string]any{"ready": isReady, "why": why}
	})
}

func (c *Control) ready() (bool, string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.voters) == 0 && c.steer.Record().Primary == "" {
		return false, "the fleet is not formed, or this machine does not know where it stands"
	}
	return true, ""
}

type operation func(c *Control, value *fastjson.Value, path string, raw []byte, answer func(any))

var operations = map[string]operation{
	"/v1/bindings/put":  (*Control).put,
	"/v1/changes/book":  (*Control).book,
	"/v1/changes/list":  (*Control).changes,
	"/v1/bindings/list": (*Control).list,

	"/v1/manifest/replace": (*Control).replaceManifest,
	"/v1/manifest/fetch":   (*Control).fetchManifest,
}

func (c *Control) onOperate(call message.Operate, answer func(any)) {
	c.mutex.Lock()
	isElsewhere, primary := c.node.Now() >= c.primacy, c.steer.Record().Primary
	c.mutex.Unlock()
	if isElsewhere {
		answer(message.Operated{IsElsewhere: true, Primary: primary})
		return
	}
	value, faults := c.node.Book.Request(call.Path, call.Body)
	act, isKnown := operations[call.Path]
	if len(faults) > 0 || !isKnown {
		answer(operated(http.StatusBadRequest, node.Refuse("call refused", faults...)))
		return
	}
	act(c, value, call.Path, call.Body, answer)
}

func operated(status int, body any) message.Operated {
	data, _ := json.Marshal(body)
	return message.Operated{Status: status, Body: data}
}

type decide func(held *store.Table, wall int64) (status int, body any, puts []store.Put)

func (c *Control) once(value *fastjson.Value, path string, act decide, answer func(any)) {
	id := string(value.GetStringBytes("id"))
	c.mutex.Lock()
	wall := c.wallNow()
	c.mutex.Unlock()
	var reply message.Operated
	c.submit(func(held *store.Table) []store.Put {
		if past, isHeld := distribution.Past(held, id); isHeld {
			reply = message.Operated{Status: past.Status, Body: past.Body}
			if past.Path != path {
				reply = operated(http.StatusConflict, node.Refuse("the id was used for another call"))
			}
			return nil
		}
		status, body, puts := act(held, wall)
		reply = operated(status, body)
		if len(puts) == 0 {
			return nil
		}
		return distribution.Keep(held, id, distribution.Outcome{Status: reply.Status, Body: reply.Body, Path: path}, puts)
	}, func(done consensus.Answer) {
		if !done.IsKept {
			word := "not_kept"
			if done.IsUnknown {
				word = "unknown"
			}
			refusal := node.Refuse("the control primary changed under the call")
			refusal.Outcome, refusal.Retry = word, 1000
			reply = operated(http.StatusServiceUnavailable, refusal)
		}
		c.node.Counts.Add("operate_"+strings.ReplaceAll(strings.TrimPrefix(path, "/v1/"), "/", "_"), 1)
		answer(reply)
	})
}

func (c *Control) knows(database string) bool {
	heard := c.heard()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Contains(c.steer.Databases(heard), database)
}

func conflict(text string, sequence uint64) node.Refusal {
	refusal := node.Refuse(text)
	refusal.Sequence = &sequence
	return refusal
}

func (c *Control) put(value *fastjson.Value, path string, _ []byte, answer func(any)) {
	set, faults := bindings.Bindings(value, c.knows)
	if len(faults) > 0 {
		answer(operated(http.StatusUnprocessableEntity, node.Refuse("the set is broken; nothing of it was taken", faults...)))
		return
	}
	expected := value.GetUint64("expected")
	c.once(value, path, func(held *store.Table, wall int64) (int, any, []store.Put) {
		puts, newest := distribution.PutSet(held, expected, set, "call "+string(value.GetStringBytes("id")), wall)
		if len(puts) == 0 {
			return http.StatusConflict, conflict(fmt.Sprintf("sequence %d was expected, %d is current", expected, newest), newest), nil
		}
		return http.StatusOK, map[string]any{"sequence": newest + 1}, puts
	}, answer)
}

func (c *Control) book(value *fastjson.Value, path string, _ []byte, answer func(any)) {
	c.mutex.Lock()
	wall := c.wallNow()
	c.mutex.Unlock()
	set, faults := bindings.Bindings(value, c.knows)
	at, more := bindings.Moment(value, wall)
	faults = append(faults, more...)
	id := string(value.GetStringBytes("id"))
	c.once(value, path, func(held *store.Table, wall int64) (int, any, []store.Put) {
		if len(faults) > 0 {
			return http.StatusUnprocessableEntity, node.Refuse("the change is broken; nothing of it was taken", faults...), nil
		}
		puts, way := distribution.BookSet(held, id, at, set, wall)
		if len(puts) == 0 {
			text := fmt.Sprintf("sequence %d, due at %d, is on its way already: book for that moment or later", way.Sequence, way.Due/int64(time.Millisecond))
			return http.StatusConflict, conflict(text, way.Sequence), nil
		}
		return http.StatusOK, map[string]any{"id": id, "at_ms": at / int64(time.Millisecond)}, puts
	}, answer)
}

func plainBindings(bindings []model.Binding) []map[string]any {
	list := []map[string]any{}
	for _, binding := range bindings {
		list = append(list, map[string]any{
			"name": binding.Name, "database": binding.Database, "freshness_ms": binding.Freshness.Milliseconds(),
		})
	}
	return list
}

func (c *Control) changes(_ *fastjson.Value, _ string, _ []byte, answer func(any)) {
	c.mutex.Lock()
	held := c.steer.Table()
	c.mutex.Unlock()
	list := []map[string]any{}
	for _, key := range held.Keys(model.KeyBook) {
		if booking, isHeld := store.Get[model.Booking](held, key); isHeld {
			list = append(list, map[string]any{
				"id": booking.ID, "at_ms": booking.At / int64(time.Millisecond), "bindings": plainBindings(booking.Bindings),
			})
		}
	}
	answer(operated(http.StatusOK, map[string]any{"changes": list}))
}

func (c *Control) list(_ *fastjson.Value, _ string, _ []byte, answer func(any)) {
	c.mutex.Lock()
	doc, wall := c.steer.Doc(), c.wallNow()
	c.mutex.Unlock()
	answer(operated(http.StatusOK, ListOf(c.node.Place().Name, doc, doc.Effective(wall))))
}

// ListOf writes the binding sets that a node knows.
func ListOf(node string, doc model.Doc, current model.Set) map[string]any {
	taken := []map[string]any{}
	for _, set := range doc.Sets {
		taken = append(taken, map[string]any{
			"sequence": set.Sequence, "bindings": plainBindings(set.Bindings), "moment_ms": set.Moment / int64(time.Millisecond),
		})
	}
	return map[string]any{"node": node, "sequence": current.Sequence, "bindings": plainBindings(current.Bindings), "taken": taken}
}

// NodesOf writes what a node knows of the others.
func NodesOf(node *node.Node) []map[string]any {
	list := []map[string]any{}
	for _, other := range node.Nodes("", membership.IsLive, membership.IsDead, membership.IsLeft) {
		standing, silence := node.Standing(other.Name)
		list = append(list, map[string]any{
			"node": other.Name, "kind": other.Kind, "zone": other.Zone, "link": other.Link, "door": other.Door,
			"standing": standing, "silent_ms": silence.Milliseconds(), "weight": other.Weight, "version": other.Version,
		})
	}
	return list
}

// WritersOf writes the writer roles.
func WritersOf(doc model.Doc) []model.Writer {
	list := []model.Writer{}
	for _, writer := range doc.Writers {
		list = append(list, writer)
	}
	slices.SortFunc(list, func(a, b model.Writer) int { return strings.Compare(a.Database, b.Database) })
	return list
}

func (c *Control) query(what string) []byte {
	now := c.node.Now()
	instances := []map[string]any{}
	for _, heard := range c.node.Instances(5 * time.Minute) {
		instances = append(instances, map[string]any{
			"instance": heard.Instance, "heard_ms": (now - heard.At).Milliseconds(),
		})
	}
	c.mutex.Lock()
	entries := []model.Entry{}
	state, doc, record := c.steer.Table(), c.steer.Doc(), c.steer.Record()
	for _, key := range state.Keys(model.KeyEntry) {
		if entry, isHeld := store.Get[model.Entry](state, key); isHeld {
			entries = append(entries, entry)
		}
	}
	held := []map[string]any{}
	for name, stamp := range c.steer.Held(now) {
		held = append(held, map[string]any{"node": name, "epoch": stamp.Epoch, "sequence": stamp.Sequence, "shows": c.steer.Shows(name)})
	}
	body := map[string]any{
		"node": c.node.Place().Name, "kind": model.KindControl, "what": what,
		"instances": instances, "writers": WritersOf(doc),
		"epoch":   map[string]any{"epoch": record.Epoch, "primary": record.Primary, "backup": record.Backup},
		"primacy": now < c.primacy, "stamp": map[string]any{"epoch": c.held.Epoch, "sequence": c.held.Sequence},
		"leases": held, "duties": c.duty.Show(now), "entries": entries, "voters": c.voters,
		"sets": ListOf(c.node.Place().Name, doc, doc.Effective(c.wallNow())),
	}
	c.mutex.Unlock()
	body["nodes"] = NodesOf(c.node)
	data, _ := json.Marshal(body)
	return data
}
