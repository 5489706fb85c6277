package control

import (
	"time"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
)

const (
	// instanceRetention is how long an instance is considered present after its
	// last announcement.
	instanceRetention = 5 * time.Minute
	// registrySweepInterval is how often instances past their retention are removed
	// from the registry.
	registrySweepInterval = 10 * time.Second
	// announceTimeout bounds the forwarding of an announcement.
	announceTimeout = 800 * time.Millisecond
)

// observations returns the instances that announced themselves to this node within
// instanceRetention.
func (s *Server) observations() []distribution.Observation {
	return newObservations(s.node.Instances(instanceRetention))
}

func newObservations(instances []node.AnnouncedInstance) []distribution.Observation {
	var observations []distribution.Observation
	for _, announced := range instances {
		observations = append(observations, distribution.Observation{Instance: announced.Instance, ObservedAt: announced.AnnouncedAt})
	}
	return observations
}

// onSyncAnnouncement delivers the announcement of a synchronously replicated
// instance to the control primary. If the primary accepts it, onSyncAnnouncement
// returns the primary's HTTP address.
func (s *Server) onSyncAnnouncement(instance model.Instance) (httpAddress string, accepted bool) {
	if result := s.acceptAnnouncement(instance); result.Accepted {
		return result.HTTPAddress, true
	}
	address, _ := s.node.ControlPrimary()
	if address == "" || address == s.node.Self().RPCAddress {
		return "", false
	}
	reply, err := s.node.Hub.Call(address, message.InstanceAnnouncement{Instance: instance}, announceTimeout)
	result, ok := reply.(message.AnnouncementResult)
	if err != nil || !ok || !result.Accepted {
		s.node.Counters.Add("announcements_not_passed", 1)
		return "", false
	}
	s.node.RecordAnnouncement(instance)
	return result.HTTPAddress, true
}

// acceptAnnouncement accepts an announcement if this node is the control primary.
func (s *Server) acceptAnnouncement(instance model.Instance) message.AnnouncementResult {
	if !s.isPrimary() || !s.node.RecordAnnouncement(instance) {
		return message.AnnouncementResult{}
	}
	s.registerInstance(instance.Name)
	return message.AnnouncementResult{Accepted: true, HTTPAddress: s.node.Self().HTTPAddress}
}

func (s *Server) registerInstance(name string) {
	announced, _ := s.node.Instance(name)
	s.mutex.Lock()
	changed := s.distributor.RegisterInstance(announced.Instance)
	s.mutex.Unlock()
	if changed {
		s.flushUpdates()
	}
}

// sweepRegistry refreshes the registry every registrySweepInterval. The refresh
// removes the instances past their retention.
func (s *Server) sweepRegistry() {
	if now := s.node.Now(); now >= s.registrySweptAt+registrySweepInterval {
		s.registrySweptAt = now
		s.refreshRegistry()
	}
}

func (s *Server) refreshRegistry() {
	observations := s.observations()
	s.mutex.Lock()
	changed := s.distributor.UpdateInstances(observations)
	s.mutex.Unlock()
	if changed {
		s.flushUpdates()
	}
}
