package model

import (
	"tansyseam/internal/state/encoded"
	"tansyseam/internal/state/store"
)

// Encoded returns the form that is stored and sent.
func (i Instance) Encoded() encoded.Instance {
	return encoded.Instance{
		Name:        i.Name,
		Database:    i.Database,
		Address:     i.Address,
		Zone:        i.Zone,
		Role:        i.Role,
		Birth:       i.Incarnation,
		Position:    encoded.Position(i.Position),
		Term:        i.Term,
		IsLeaving:   i.Leaving,
		Connections: i.Connections,
		Slots:       i.Slots,
		IsSynced:    i.SyncReplication,
		IsGone:      i.Stopped,
		Calls:       i.AnnouncementNumber,
	}
}

// InstanceFrom converts the form that is stored and sent.
func InstanceFrom(e encoded.Instance) Instance {
	return Instance{
		Name:               e.Name,
		Database:           e.Database,
		Address:            e.Address,
		Zone:               e.Zone,
		Role:               e.Role,
		Incarnation:        e.Birth,
		Position:           Position(e.Position),
		Term:               e.Term,
		Leaving:            e.IsLeaving,
		Connections:        e.Connections,
		Slots:              e.Slots,
		SyncReplication:    e.IsSynced,
		Stopped:            e.IsGone,
		AnnouncementNumber: e.Calls,
	}
}

// Encoded returns the form that is stored and sent.
func (s Snapshot) Encoded() encoded.Doc {
	return encoded.Doc{
		Stamp:   encoded.Stamp(s.Version),
		Sets:    encoded.Slice(s.Sets, BindingSet.Encoded),
		Writers: encoded.Map(s.Writers, WriterRole.Encoded),
		Since:   encoded.Stamp(s.BaseVersion),
		First:   s.FirstSequence,
		Changes: encoded.Slice(s.Changes, SetChange.Encoded),
		Kept:    s.Sequences,
	}
}

// SnapshotFrom converts the form that is stored and sent.
func SnapshotFrom(e encoded.Doc) Snapshot {
	return Snapshot{
		Version:       store.Version(e.Stamp),
		Sets:          encoded.Slice(e.Sets, BindingSetFrom),
		Writers:       encoded.Map(e.Writers, WriterRoleFrom),
		BaseVersion:   store.Version(e.Since),
		FirstSequence: e.First,
		Changes:       encoded.Slice(e.Changes, SetChangeFrom),
		Sequences:     e.Kept,
	}
}

// Encoded returns the form that is sent.
func (c SetChange) Encoded() encoded.SetChange {
	return encoded.SetChange{
		Set:             c.Set.Encoded(),
		Base:            c.BaseSequence,
		Changed:         encoded.Slice(c.Changed, Binding.Encoded),
		Removed:         c.Removed,
		Order:           encoded.Slice(c.Order, func(r Range) encoded.Range { return encoded.Range(r) }),
		IsSameDatabases: c.SameDatabases,
	}
}

// SetChangeFrom converts the form that is sent.
func SetChangeFrom(e encoded.SetChange) SetChange {
	return SetChange{
		Set:           BindingSetFrom(e.Set),
		BaseSequence:  e.Base,
		Changed:       encoded.Slice(e.Changed, BindingFrom),
		Removed:       e.Removed,
		Order:         encoded.Slice(e.Order, func(r encoded.Range) Range { return Range(r) }),
		SameDatabases: e.IsSameDatabases,
	}
}

// Encoded returns the form that is stored and sent.
func (s BindingSet) Encoded() encoded.Set {
	return encoded.Set{
		Sequence:  s.Sequence,
		Bindings:  encoded.Slice(s.Bindings, Binding.Encoded),
		Moment:    s.EffectiveAt,
		Due:       s.NotBefore,
		Taken:     s.AcceptedAt,
		By:        s.ScheduledBy,
		Source:    s.Source,
		Version:   s.Version,
		Databases: encoded.Slice(s.Databases, Database.Encoded),
		Limits:    s.Limits.Encoded(),
	}
}

// BindingSetFrom converts the form that is stored and sent.
func BindingSetFrom(e encoded.Set) BindingSet {
	return BindingSet{
		Sequence:    e.Sequence,
		Bindings:    encoded.Slice(e.Bindings, BindingFrom),
		EffectiveAt: e.Moment,
		NotBefore:   e.Due,
		AcceptedAt:  e.Taken,
		ScheduledBy: e.By,
		Source:      e.Source,
		Version:     e.Version,
		Databases:   encoded.Slice(e.Databases, DatabaseFrom),
		Limits:      LimitsFrom(e.Limits),
	}
}

// Encoded returns the form that is stored and sent.
func (b Binding) Encoded() encoded.Binding {
	return encoded.Binding{
		Name:      b.Name,
		Database:  b.Database,
		Freshness: b.Freshness,
		IsOwn:     b.ReadYourWrites,
		Timeout:   b.Timeout,
		Target:    b.LatencyTarget,
		Priority:  b.Priority,
		Tries:     b.MaxAttempts,
	}
}

// BindingFrom converts the form that is stored and sent.
func BindingFrom(e encoded.Binding) Binding {
	return Binding{
		Name:           e.Name,
		Database:       e.Database,
		Freshness:      e.Freshness,
		ReadYourWrites: e.IsOwn,
		Timeout:        e.Timeout,
		LatencyTarget:  e.Target,
		Priority:       e.Priority,
		MaxAttempts:    e.Tries,
	}
}

// Encoded returns the form that is stored and sent.
func (d Database) Encoded() encoded.Database {
	return encoded.Database{
		Name:        d.Name,
		Connections: d.MaxConnections,
		Synced:      d.MinSyncReplicas,
	}
}

// DatabaseFrom converts the form that is stored and sent.
func DatabaseFrom(e encoded.Database) Database {
	return Database{
		Name:            e.Name,
		MaxConnections:  e.Connections,
		MinSyncReplicas: e.Synced,
	}
}

// Encoded returns the form that is stored and sent.
func (l Limits) Encoded() encoded.Limits {
	return encoded.Limits{
		Message: l.MaxMessageBytes,
		Idle:    l.IdleTimeout,
		Inside:  l.TransactionIdleTimeout,
	}
}

// LimitsFrom converts the form that is stored and sent.
func LimitsFrom(e encoded.Limits) Limits {
	return Limits{
		MaxMessageBytes:        e.Message,
		IdleTimeout:            e.Idle,
		TransactionIdleTimeout: e.Inside,
	}
}

// Encoded returns the form that is stored and sent.
func (w WriterRole) Encoded() encoded.Writer {
	return encoded.Writer{
		Database:   w.Database,
		Term:       w.Term,
		Primary:    w.Primary,
		Birth:      w.PrimaryIncarnation,
		Phase:      w.Phase,
		Required:   w.RequiredReplicas,
		Candidates: w.Candidates,
		Shunned:    w.Excluded,
		Intent:     w.Promoting,
		High:       encoded.Position(w.HighWatermark),
		Base:       encoded.Position(w.TermStart),
		Before:     w.PreviousTerm,
		Why:        w.Reason,
		Since:      w.LastTransitionAt,
		Calls:      w.PromoteCalls,
		IsSynced:   w.SyncReplication,
		Floor:      encoded.Position(w.MinPosition),
		Holder:     w.Promoter,
		Fence:      w.FencingToken,
	}
}

// WriterRoleFrom converts the form that is stored and sent.
func WriterRoleFrom(e encoded.Writer) WriterRole {
	return WriterRole{
		Database:           e.Database,
		Term:               e.Term,
		Primary:            e.Primary,
		PrimaryIncarnation: e.Birth,
		Phase:              e.Phase,
		RequiredReplicas:   e.Required,
		Candidates:         e.Candidates,
		Excluded:           e.Shunned,
		Promoting:          e.Intent,
		HighWatermark:      Position(e.High),
		TermStart:          Position(e.Base),
		PreviousTerm:       e.Before,
		Reason:             e.Why,
		LastTransitionAt:   e.Since,
		PromoteCalls:       e.Calls,
		SyncReplication:    e.IsSynced,
		MinPosition:        Position(e.Floor),
		Promoter:           e.Holder,
		FencingToken:       e.Fence,
	}
}

// Encoded returns the form that is stored and sent.
func (n Node) Encoded() encoded.Node {
	return encoded.Node{
		Name:    n.Name,
		Kind:    n.Kind,
		Zone:    n.Zone,
		Link:    n.RPCAddress,
		Door:    n.HTTPAddress,
		Birth:   n.Incarnation,
		Version: n.Version,
		Weight:  n.Weight,
		Beat:    n.Heartbeat,
		Left:    n.Left,
	}
}

// NodeFrom converts the form that is stored and sent.
func NodeFrom(e encoded.Node) Node {
	return Node{
		Name:        e.Name,
		Kind:        e.Kind,
		Zone:        e.Zone,
		RPCAddress:  e.Link,
		HTTPAddress: e.Door,
		Incarnation: e.Birth,
		Version:     e.Version,
		Weight:      e.Weight,
		Heartbeat:   e.Beat,
		Left:        e.Left,
	}
}

// Encoded returns the form that is stored and sent.
func (s ScheduledChange) Encoded() encoded.Booking {
	return encoded.Booking{
		ID:       s.ID,
		At:       s.EffectiveAt,
		Bindings: encoded.Slice(s.Bindings, Binding.Encoded),
		Order:    s.Order,
	}
}

// ScheduledChangeFrom converts the form that is stored and sent.
func ScheduledChangeFrom(e encoded.Booking) ScheduledChange {
	return ScheduledChange{
		ID:          e.ID,
		EffectiveAt: e.At,
		Bindings:    encoded.Slice(e.Bindings, BindingFrom),
		Order:       e.Order,
	}
}

// Encoded returns the form that is stored and sent.
func (a AuditEntry) Encoded() encoded.Entry {
	return encoded.Entry{
		Order:    a.Sequence,
		At:       a.At,
		Subject:  a.Subject,
		What:     a.Action,
		Evidence: a.Evidence,
	}
}

// AuditEntryFrom converts the form that is stored and sent.
func AuditEntryFrom(e encoded.Entry) AuditEntry {
	return AuditEntry{
		Sequence: e.Order,
		At:       e.At,
		Subject:  e.Subject,
		Action:   e.What,
		Evidence: e.Evidence,
	}
}
