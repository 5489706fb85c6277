package consensus

import (
	"github.com/juju/errors"

	"tansyseam/internal/state/store"
	"tansyseam/internal/state/versionfile"
)

// Load reads what the epoch machine keeps.
func Load(files *versionfile.Store, onPassed func(kind string, passed int)) (Saved, error) {
	saved := Saved{}
	loads := []struct {
		kind string
		take func(uint64, []byte) error
	}{
		{FileIdentity, func(_ uint64, data []byte) error {
			saved.Identity = &Identity{}
			return store.Decode(data, saved.Identity)
		}},
		{FileBallots, func(_ uint64, data []byte) error {
			saved.Ballots = &Ballots{}
			return store.Decode(data, saved.Ballots)
		}},
		{FileTable, func(sequence uint64, data []byte) error {
			saved.Table = store.New()
			saved.Copies = sequence
			return store.Decode(data, saved.Table)
		}},
	}
	for _, load := range loads {
		sequence, data, passed, err := files.Latest(load.kind)
		if passed > 0 {
			onPassed(load.kind, passed)
			saved.IsUnsound = true
		}
		if errors.Is(err, versionfile.ErrNone) {
			continue
		}
		if err != nil {
			return saved, errors.Trace(err)
		}
		if err := load.take(sequence, data); err != nil {
			return saved, errors.Trace(err)
		}
	}
	if saved.Table != nil && saved.Table.Records == nil {
		saved.Table.Records = map[string]store.Record{}
	}
	return saved, nil
}
