package consensus

// Electorate describes the voters on which this node's votes on singleton roles depend.
type Electorate struct {
	// Voters are the voters of the newest known record.
	Voters Voters
	// IncludesSelf is true if this node is one of Voters.
	IncludesSelf bool
	// Changing is true if this node has accepted a record with different voters, which
	// may have been decided.
	Changing bool
}

// Electorate returns the voters known to this node, and whether they may be changing.
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
