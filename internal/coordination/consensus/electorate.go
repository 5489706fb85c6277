package consensus

// Electorate is what this node's votes on singleton roles depend on.
type Electorate struct {
	// Voters are those of the newest record known.
	Voters Voters
	// IncludesSelf says whether this node is one of them.
	IncludesSelf bool
	// Changing says that this node has accepted a record with other voters, which may
	// be decided.
	Changing bool
}

// Electorate gives the voters as this node knows them.
func (m *Machine) Electorate() Electorate {
	return Electorate{Voters: m.voterState.Decided.Voters, IncludesSelf: m.IsMember(), Changing: m.isElectorateChanging()}
}

func (m *Machine) isElectorateChanging() bool {
	if len(m.voterState.Acceptor.Value) == 0 {
		return false
	}
	accepted, err := decodeRecord(m.voterState.Acceptor.Value)
	return err != nil || accepted.Voters != m.voterState.Decided.Voters
}
