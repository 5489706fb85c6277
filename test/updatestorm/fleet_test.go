// Package updatestorm plays a control primary and its proxies through many changes of the
// configuration, in virtual time. The machines are those of the programs; links have a
// rate, so that an answer takes as long as its bytes need.
package updatestorm

import (
	"encoding/gob"
	"fmt"
	"time"

	"tansyseam/internal/coordination/consensus"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/coordination/lease"
	"tansyseam/internal/coordination/rollout"
	"tansyseam/internal/coordination/routing"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/state/store"
)

const (
	// step is the resolution of the virtual time.
	step = 5 * time.Millisecond
	// maintenanceInterval, requestTimeout and retryDelay are those of the programs.
	maintenanceInterval = 25 * time.Millisecond
	requestTimeout      = 750 * time.Millisecond
	retryDelay          = 30 * time.Millisecond
	roundTrip           = 5 * time.Millisecond
	// linkBytesPerSecond is the rate of a proxy's link, 2 Mbit/s.
	linkBytesPerSecond = 250_000
	databases          = 30
)

// frame is an answer that waits at a link or crosses it.
type frame struct {
	bytesLeft int
	token     uint64
	update    distribution.Update
}

// proxy is a proxy with its link from the control primary.
type proxy struct {
	name        string
	incarnation int64
	machine     *routing.Machine
	link        []frame
	token       uint64
	sentAt      time.Duration
	nextRequest time.Duration
	waiting     bool
}

// fleet is a control primary with its proxies.
type fleet struct {
	now       time.Duration
	timing    lease.Timing
	epoch     uint64
	state     *store.Table
	primary   *distribution.Machine
	proxies   []*proxy
	byName    map[string]*proxy
	byToken   map[uint64]*proxy
	lastToken uint64
	sizes     map[string]int
	version   uint64
	routes    int
	// earlierBuild is true if the proxies are of a build that accepts complete sets only.
	earlierBuild bool

	maxQueued  int64
	maxSets    int
	maxPending int
}

func newFleet(proxies, routes int) *fleet {
	f := &fleet{
		now: time.Hour, timing: lease.DefaultTiming(), state: store.New(), sizes: map[string]int{}, routes: routes,
		byName: map[string]*proxy{}, byToken: map[uint64]*proxy{},
	}
	f.timing.ActivationDeadline = 4 * time.Second
	f.timing.PollTimeout = 500 * time.Millisecond
	for number := range proxies {
		p := &proxy{name: fmt.Sprintf("edge-%d", number+1)}
		f.proxies = append(f.proxies, p)
		f.byName[p.name] = p
	}
	f.restartProxies()
	f.restartControl()
	return f
}

func (f *fleet) wallNanos() int64 { return int64(100*time.Hour + f.now) }

// restartControl replaces the control primary by one that starts from the state on disk.
// All connections break.
func (f *fleet) restartControl() {
	f.epoch++
	f.primary = distribution.New("c1", f.timing, consensus.Record{Epoch: f.epoch - 1, Primary: "c2"}, f.state, f.now)
	f.primary.SetClockTrusted(true)
	f.primary.EpochChanged(consensus.Record{Epoch: f.epoch, Primary: "c1"}, f.state, f.now)
	f.write(distribution.Write{Build: func(*store.Table) []store.Put {
		return []store.Put{{Key: model.PrefixAuditEntry + fmt.Sprint(f.epoch), Data: []byte{1}}}
	}, Done: func() {}})
	for _, p := range f.proxies {
		p.link, p.waiting, p.nextRequest = nil, false, f.now+retryDelay
	}
	clear(f.byToken)
}

// restartProxies replaces all proxies by ones that hold nothing.
func (f *fleet) restartProxies() {
	for _, p := range f.proxies {
		p.machine = routing.New(p.name, f.timing)
		p.incarnation = int64(f.now)
		p.link, p.waiting, p.nextRequest = nil, false, f.now
	}
}

// write applies a write to the control state at once.
func (f *fleet) write(write distribution.Write) {
	if puts := write.Build(f.state); len(puts) > 0 {
		f.state = f.state.Clone()
		f.state.Apply(store.Version{Epoch: f.epoch, Sequence: f.state.Version.Sequence + 1}, puts)
		f.primary.Publish(f.state)
	}
	write.Done()
}

// accept accepts the next version of the configuration, which differs from the one before
// in one route and in the order of the routes.
func (f *fleet) accept() {
	f.version++
	set := model.BindingSet{}
	for index := range f.routes {
		number := (index + int(f.version)) % f.routes
		binding := model.Binding{
			Name: fmt.Sprintf("route-%d", number), Database: fmt.Sprintf("booking-db-%d", number%databases),
			Timeout: 4 * time.Second, LatencyTarget: 250 * time.Millisecond, MaxAttempts: 2,
		}
		if number == int(f.version)%f.routes {
			binding.Timeout = time.Duration(f.version) * time.Millisecond
		}
		set.Bindings = append(set.Bindings, binding)
	}
	for number := range databases {
		set.Databases = append(set.Databases, model.Database{Name: fmt.Sprintf("booking-db-%d", number), MaxConnections: 420, MinSyncReplicas: 1})
	}
	manifest := rollout.Manifest{Version: f.version, Set: set, Digest: rollout.DigestOf(set, fmt.Append(nil, f.version)), Source: "manifest"}
	f.write(distribution.Write{Build: func(state *store.Table) []store.Put {
		puts, err := rollout.AcceptManifest(state, manifest, f.wallNanos())
		if err != nil {
			panic(err)
		}
		return puts
	}, Done: func() {}})
}

// play plays a span of time with a change each interval, or with none if interval is 0.
func (f *fleet) play(span, interval time.Duration) {
	for end, nextChange := f.now+span, f.now; f.now < end; f.now += step {
		if interval > 0 && f.now >= nextChange {
			f.accept()
			nextChange += interval
		}
		if f.now%maintenanceInterval < step {
			f.maintain()
		}
		f.flush()
		for _, p := range f.proxies {
			f.advance(p)
		}
		f.measure()
	}
}

func (f *fleet) maintain() {
	for _, next := range []func(int64, time.Duration) (distribution.Write, bool){
		f.primary.RegisterNodes, f.primary.NextActivation, f.primary.NextCollection,
	} {
		if write, due := next(f.wallNanos(), f.now); due {
			f.write(write)
		}
	}
}

func (f *fleet) flush() {
	for _, reply := range f.primary.Flush(true, f, f.wallNanos(), f.now) {
		if p, found := f.byToken[reply.Token]; found {
			delete(f.byToken, reply.Token)
			p.link = append(p.link, frame{bytesLeft: f.sizeOf(reply.Update), token: reply.Token, update: reply.Update})
		}
	}
}

// QueuedBytes returns the number of bytes that wait at all links.
func (f *fleet) QueuedBytes() int64 {
	queued := int64(0)
	for _, p := range f.proxies {
		queued += p.queuedBytes()
	}
	return queued
}

// QueuedBytesTo returns the number of bytes that wait at the link of a proxy.
func (f *fleet) QueuedBytesTo(name string) int64 {
	return f.byName[name].queuedBytes()
}

func (p *proxy) queuedBytes() int64 {
	queued := int64(0)
	for _, waiting := range p.link {
		queued += int64(waiting.bytesLeft)
	}
	return queued
}

// advance plays one step of a proxy and of its link.
func (f *fleet) advance(p *proxy) {
	budget := int(linkBytesPerSecond * step / time.Second)
	for budget > 0 && len(p.link) > 0 {
		sent := min(budget, p.link[0].bytesLeft)
		p.link[0].bytesLeft -= sent
		budget -= sent
		if p.link[0].bytesLeft == 0 {
			f.receive(p, p.link[0])
			p.link = p.link[1:]
		}
	}
	if p.waiting && f.now >= p.sentAt+requestTimeout {
		p.waiting, p.nextRequest = false, f.now+retryDelay
	}
	if !p.waiting && f.now >= p.nextRequest {
		f.request(p)
	}
}

// receive passes an answer to its proxy, unless the proxy no longer waits for it.
func (f *fleet) receive(p *proxy, received frame) {
	if !p.waiting || received.token != p.token {
		return
	}
	p.machine.ApplyUpdate(received.update, p.sentAt, f.now)
	p.waiting, p.nextRequest = false, f.now+roundTrip
}

func (f *fleet) request(p *proxy) {
	f.lastToken++
	p.token, p.sentAt, p.waiting = f.lastToken, f.now, true
	f.byToken[p.token] = p
	request := p.machine.UpdateRequest(f.now, nil)
	request.Incarnation = p.incarnation
	if f.earlierBuild {
		request.AcceptsSetChanges, request.HeldSets = false, nil
	}
	f.primary.HandleRequest(request, p.token, f.now)
}

func (f *fleet) measure() {
	pending := 0
	for _, set := range f.primary.Snapshot().Sets {
		if set.EffectiveAt == 0 {
			pending++
		}
	}
	f.maxQueued = max(f.maxQueued, f.QueuedBytes())
	f.maxSets = max(f.maxSets, len(f.primary.Snapshot().Sets))
	f.maxPending = max(f.maxPending, pending)
}

// proxiesInForce returns the number of proxies that hold a lease and run the newest
// version.
func (f *fleet) proxiesInForce() int {
	count := 0
	for _, p := range f.proxies {
		set, _ := p.machine.ActiveSet(f.now)
		if p.machine.HasLease(f.now) && set.Version == f.version {
			count++
		}
	}
	return count
}

// sizeOf returns the size of an update as it is sent. Updates with the same snapshot have
// nearly the same size, so that only one of them is encoded.
func (f *fleet) sizeOf(update distribution.Update) int {
	key := snapshotKey(update.Snapshot)
	size, found := f.sizes[key]
	if !found {
		size = encodedSize(update)
		f.sizes[key] = size
	}
	return size
}

// snapshotKey identifies the content of a snapshot.
func snapshotKey(snapshot *model.Snapshot) string {
	if snapshot == nil {
		return ""
	}
	key := fmt.Sprint(snapshot.Version, snapshot.BaseVersion)
	for _, set := range snapshot.Sets {
		key += fmt.Sprint(" ", set.Sequence, "@", set.EffectiveAt)
	}
	for _, change := range snapshot.Changes {
		key += fmt.Sprint(" ", change.BaseSequence, ">", change.Set.Sequence, "@", change.Set.EffectiveAt)
	}
	return key
}

// encodedSize returns the size of a message as it is sent.
func encodedSize(body any) int {
	var size byteCount
	if err := gob.NewEncoder(&size).Encode(message.Encode(body)); err != nil {
		panic(err)
	}
	return int(size)
}

type byteCount int

func (c *byteCount) Write(data []byte) (int, error) {
	*c += byteCount(len(data))
	return len(data), nil
}
