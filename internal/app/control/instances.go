package control

import (
	"time"

	"tansyseam/internal/app/node"
	"tansyseam/internal/coordination/distribution"
	"tansyseam/internal/protocol/message"
	"tansyseam/internal/state/model"
	"tansyseam/internal/transport/worker"
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
	return s.newObservations(s.node.Instances(instanceRetention))
}

// newObservations returns the announcements as they must be treated after the recorded
// departures of their instances.
func (s *Server) newObservations(instances []node.AnnouncedInstance) []distribution.Observation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var observations []distribution.Observation
	for _, announced := range instances {
		instance := s.distributor.WithDeparture(announced.Instance)
		observations = append(observations, distribution.Observation{Instance: instance, ObservedAt: announced.AnnouncedAt})
	}
	return observations
}

// onSyncAnnouncement delivers the announcement of a synchronously replicated
// instance to the control primary. If the primary accepts it, onSyncAnnouncement
// returns the primary's HTTP address.
func (s *Server) onSyncAnnouncement(instance model.Instance) (httpAddress string, accepted bool) {
	if s.isPrimary() {
		return s.acceptOwnAnnouncement(instance)
	}
	instance = s.describeStopped(instance)
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

// describeStopped completes an announcement that says only that an instance has stopped,
// if this node has received an earlier announcement of the instance. The control primary
// may not have received one.
func (s *Server) describeStopped(instance model.Instance) model.Instance {
	announced, found := s.node.Instance(instance.Name)
	if !instance.Stopped || instance.Database != "" || !found {
		return instance
	}
	described := announced.Instance
	described.Stopped, described.Leaving = true, true
	return described
}

// acceptOwnAnnouncement accepts an announcement at the control primary and waits until it
// may be acknowledged.
func (s *Server) acceptOwnAnnouncement(instance model.Instance) (httpAddress string, accepted bool) {
	results := make(chan message.AnnouncementResult, 1)
	s.acceptAnnouncement(instance, func(result message.AnnouncementResult) { results <- result })
	result, _ := worker.ReceiveWithin(s.node.Workers, results, announceTimeout)
	return result.HTTPAddress, result.Accepted
}

// acceptAnnouncement accepts an announcement if this node is the control primary. The
// announcement that an instance is leaving or has stopped is accepted once the departure
// is recorded in the control state, because it binds the next primary too.
func (s *Server) acceptAnnouncement(instance model.Instance, reply func(message.AnnouncementResult)) {
	if !s.isPrimary() || !s.node.RecordAnnouncement(instance) {
		reply(message.AnnouncementResult{})
		return
	}
	recorded := s.registerInstance(instance)
	accepted := message.AnnouncementResult{Accepted: true, HTTPAddress: s.node.Self().HTTPAddress}
	s.mutex.Lock()
	required := s.distributor.RequiresDeparture(recorded)
	if required {
		s.distributor.AddDeparture(recorded, func(recorded bool) {
			if !recorded {
				accepted = message.AnnouncementResult{}
			}
			reply(accepted)
		})
	}
	s.mutex.Unlock()
	if !required {
		reply(accepted)
		return
	}
	s.writeDepartures()
}

// registerInstance puts the recorded announcement of an instance into the distributed
// list, and returns it. If an instance that has stopped is not recorded, its name is listed.
func (s *Server) registerInstance(instance model.Instance) model.Instance {
	announced, found := s.node.Instance(instance.Name)
	if !found {
		instance.Leaving = instance.Leaving || instance.Stopped
		announced.Instance = instance
	}
	s.mutex.Lock()
	changed := s.distributor.RegisterInstance(announced.Instance)
	s.mutex.Unlock()
	if changed {
		s.flushUpdates()
	}
	return announced.Instance
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
