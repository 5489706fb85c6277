package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Place is one instance as the platform knows it.
type Place struct {
	Name     string
	Database string
	Address  string
}

// Platform is the stand-in platform: it hands out doors that are ready and
// takes the promote call.
type Platform struct {
	mutex     sync.Mutex
	places    map[string]Place
	doors     map[string]string
	ready     map[string]bool
	next      int
	wait      time.Duration
	refusals  int
	lost      int
	isCut     bool
	Calls     []string
	followers context.Context
}

// NewPlatform makes a platform that knows the instances and the data-plane
// doors with their zones.
func NewPlatform(ctx context.Context, places []Place, doors map[string]string) *Platform {
	p := &Platform{places: map[string]Place{}, doors: map[string]string{}, ready: map[string]bool{}, followers: ctx}
	for _, place := range places {
		p.places[place.Name] = place
	}
	for door, zone := range doors {
		p.doors[door] = zone
	}
	return p
}

// Serve listens for the promote call and looks at readiness.
func (p *Platform) Serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/platform/promote", p.promote)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	go func() { <-p.followers.Done(); _ = server.Close() }()
	go p.look()
	return nil
}

// Misbehave sets how the promote call goes wrong: slow, refused so many
// times, its answer lost so many times, cut off.
func (p *Platform) Misbehave(wait time.Duration, refusals, lost int, isCut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wait, p.refusals, p.lost, p.isCut = wait, refusals, lost, isCut
}

// AddDoor makes a further door known.
func (p *Platform) AddDoor(door, zone string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.doors[door] = zone
}

// DropDoor forgets a door.
func (p *Platform) DropDoor(door string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.doors, door)
}

func (p *Platform) look() {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	ticker := time.NewTicker(150 * time.Millisecond)
	defer ticker.Stop()
	for {
		p.mutex.Lock()
		doors := []string{}
		for door := range p.doors {
			doors = append(doors, door)
		}
		p.mutex.Unlock()
		var group sync.WaitGroup
		for _, door := range doors {
			group.Add(1)
			go func() {
				defer group.Done()
				response, err := client.Post("http://"+door+"/v1/ready", "application/json", nil)
				isReady := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				p.mutex.Lock()
				p.ready[door] = isReady
				p.mutex.Unlock()
			}()
		}
		group.Wait()
		select {
		case <-p.followers.Done():
			return
		case <-ticker.C:
		}
	}
}

// Ready counts the doors that are ready.
func (p *Platform) Ready() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for door := range p.doors {
		if p.ready[door] {
			count++
		}
	}
	return count
}

// Door hands out a ready door, one of the zone where there is one.
func (p *Platform) Door(zone string) (string, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	near, far := []string{}, []string{}
	for door, at := range p.doors {
		if !p.ready[door] {
			continue
		}
		if at == zone {
			near = append(near, door)
		} else {
			far = append(far, door)
		}
	}
	p.next++
	if len(near) > 0 {
		return near[p.next%len(near)], true
	}
	if len(far) > 0 {
		return far[p.next%len(far)], true
	}
	return "", false
}

func (p *Platform) promote(w http.ResponseWriter, r *http.Request) {
	var asked struct {
		Database string `json:"database"`
		Instance string `json:"instance"`
		Term     uint64 `json:"term"`
	}
	if json.NewDecoder(r.Body).Decode(&asked) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	wait, isRefused, isLost, isCut := p.wait, p.refusals > 0, p.lost > 0, p.isCut
	if isCut {
		p.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	if isRefused {
		p.refusals--
		p.mutex.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if isLost {
		p.lost--
	}
	p.Calls = append(p.Calls, fmt.Sprintf("%s %s %d", asked.Database, asked.Instance, asked.Term))
	target := p.places[asked.Instance]
	var others []Place
	for _, place := range p.places {
		if place.Database == asked.Database && place.Name != asked.Instance {
			others = append(others, place)
		}
	}
	p.mutex.Unlock()
	pause(p.followers, wait)
	client := &http.Client{Timeout: time.Second}
	if err := post(client, target.Address, "/admin/promote", map[string]any{"term": asked.Term}, nil); err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	for _, other := range others {
		go p.follow(other, target.Address, asked.Term)
	}
	if isLost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) follow(other Place, upstream string, term uint64) {
	client := &http.Client{Timeout: time.Second}
	for range 300 {
		err := post(client, other.Address, "/admin/follow", map[string]any{"upstream": upstream, "term": term}, nil)
		if err == nil || p.followers.Err() != nil {
			return
		}
		pause(p.followers, 200*time.Millisecond)
	}
}
