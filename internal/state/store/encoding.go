package store

import "tansyseam/internal/state/encoded"

// Encoded returns the form that is stored and sent.
func (p Put) Encoded() encoded.Put {
	return encoded.Put{
		Key:    p.Key,
		Data:   p.Data,
		IsGone: p.Deleted,
	}
}

// PutFrom converts the form that is stored and sent.
func PutFrom(e encoded.Put) Put {
	return Put{
		Key:     e.Key,
		Data:    e.Data,
		Deleted: e.IsGone,
	}
}

// Encoded returns the form that is stored and sent.
func (r Record) Encoded() encoded.Record {
	return encoded.Record{
		Stamp: encoded.Stamp(r.Version),
		Data:  r.Data,
	}
}

// RecordFrom converts the form that is stored and sent.
func RecordFrom(e encoded.Record) Record {
	return Record{
		Version: Version(e.Stamp),
		Data:    e.Data,
	}
}

// Encoded returns the form that is stored and sent.
func (t Table) Encoded() encoded.Table {
	return encoded.Table{
		Stamp:   encoded.Stamp(t.Version),
		Records: encoded.Map(t.Records, Record.Encoded),
	}
}

// TableFrom converts the form that is stored and sent.
func TableFrom(e encoded.Table) Table {
	return Table{
		Version: Version(e.Stamp),
		Records: encoded.Map(e.Records, RecordFrom),
	}
}
