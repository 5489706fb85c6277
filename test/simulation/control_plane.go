package simulation

import (
	"fmt"
	"slices"
	"time"

	"tansyseam/internal/coordination/failover/asyncrepl"
	"tansyseam/internal/coordination/failover/syncrepl"
)

// primaryCheckInterval is the time between checks for more than one primary.
const primaryCheckInterval = 5 * time.Millisecond

// backends are the database instances that the control servers manage.
type backends interface {
	// instanceNames lists the instances in the order of their creation.
	instanceNames() []string
	// decideAsync and decideSync make a control server decide on evidence that
	// the control primary gathered.
	decideAsync(control, primary *controlServer, evidence asyncrepl.Evidence)
	decideSync(control, primary *controlServer, evidence syncrepl.Evidence)
}

// controlPlane holds the control servers of a fleet, and the other state that
// both kinds of fleets have.
type controlPlane struct {
	simulator *simulator
	backends  backends
	databases []string
	recorder  recorder
	faults    faultState
	// foundingServers is the number of control servers with which the fleet was
	// formed.
	foundingServers int
	controls        []*controlServer
	// removedControls are the control servers that were replaced. They do not
	// return.
	removedControls []*controlServer
}

func newControlPlane(s *simulator, foundingServers, maxFollowUps int) controlPlane {
	return controlPlane{simulator: s, foundingServers: foundingServers, recorder: newRecorder(), faults: newFaultState(maxFollowUps)}
}

func (p *controlPlane) createControls() {
	for number := range p.foundingServers {
		p.controls = append(p.controls, p.createControl(number+1))
	}
}

func (p *controlPlane) createControl(number int) *controlServer {
	return &controlServer{machine: newMachine(p.simulator, fmt.Sprintf("c%d", number)), plane: p, disk: newDisk()}
}

func controlNames(controls []*controlServer) []string {
	var names []string
	for _, control := range controls {
		names = append(names, control.name)
	}
	return names
}

// findControl returns a control server by its name, including removed ones. It
// returns nil if there is none.
func (p *controlPlane) findControl(name string) *controlServer {
	for _, control := range slices.Concat(p.controls, p.removedControls) {
		if control.name == name {
			return control
		}
	}
	return nil
}

// primaries returns the control servers that are primary by their own clocks,
// including frozen ones. More than one is a violation.
func (p *controlPlane) primaries() []*controlServer {
	var found []*controlServer
	for _, control := range p.controls {
		if control.running && control.isPrimary() {
			found = append(found, control)
		}
	}
	return found
}

// activePrimary returns the first primary that is not frozen, or nil.
func (p *controlPlane) activePrimary() *controlServer {
	for _, primary := range p.primaries() {
		if !primary.frozen {
			return primary
		}
	}
	return nil
}

// checkSinglePrimaryUntil checks periodically until the given time that at most
// one control server is primary.
func (p *controlPlane) checkSinglePrimaryUntil(until time.Duration) {
	if primaries := p.primaries(); len(primaries) > 1 {
		p.recorder.addViolation("%v hold primacy at once at %v", controlNames(primaries), p.simulator.now)
	}
	if p.simulator.now < until {
		p.simulator.after(primaryCheckInterval, func() { p.checkSinglePrimaryUntil(until) })
	}
}

// isControlHealthy reports whether every voter is a running member that is
// settled and has a backup recorded, so that the fleet survives the loss of one.
func (p *controlPlane) isControlHealthy() bool {
	var voters []string
	for _, primary := range p.primaries() {
		voters = primary.consensus.Voters()
	}
	return len(voters) > 0 && !slices.ContainsFunc(voters, func(name string) bool { return !p.isHealthyVoter(p.findControl(name)) })
}

func (p *controlPlane) isHealthyVoter(control *controlServer) bool {
	present := slices.Contains(p.controls, control) && control.running
	return present && control.consensus.IsMember() && control.consensus.Record().Backup != "" && control.consensus.IsSettled()
}

// repairControls ends all faults of control servers.
func (p *controlPlane) repairControls() {
	for _, control := range p.controls {
		control.disk.repair()
		control.writesUntilCrash = 0
		control.thaw()
		control.ensureRunning(control.start)
	}
}
