package consensus

import (
	"github.com/juju/errors"

	"tansyseam/internal/state/store"
	"tansyseam/internal/state/versionfile"
)

// Load reads what the epoch machine keeps.
func Load(files *versionfile.Store, onSkipped func(kind string, skipped int)) (PersistentState, error) {
	saved := PersistentState{}
	loads := []struct {
		kind string
		take func(uint64, []byte) error
	}{
		{FileIdentity, func(_ uint64, data []byte) (err error) {
			saved.Identity, err = DecodeIdentity(data)
			return err
		}},
		{FileVoterState, func(_ uint64, data []byte) (err error) {
			saved.VoterState, err = DecodeVoterState(data)
			return err
		}},
		{FileTable, func(sequence uint64, data []byte) (err error) {
			saved.TableSequence = sequence
			saved.Table, err = DecodeTable(data)
			return err
		}},
	}
	for _, load := range loads {
		latest, skipped, err := files.Latest(load.kind)
		if skipped > 0 {
			onSkipped(load.kind, skipped)
			saved.Corrupted = true
		}
		if errors.Is(err, versionfile.ErrNotFound) {
			continue
		}
		if err != nil {
			return saved, errors.Trace(err)
		}
		if err := load.take(latest.Sequence, latest.Data); err != nil {
			return saved, errors.Trace(err)
		}
	}
	return saved, nil
}

// DecodeIdentity reads the content of a FileIdentity. The error is store.ErrDecode.
func DecodeIdentity(data []byte) (*Identity, error) { return decodePointer(data, IdentityFrom) }

// DecodeVoterState reads the content of a FileVoterState. The error is store.ErrDecode.
func DecodeVoterState(data []byte) (*VoterState, error) { return decodePointer(data, VoterStateFrom) }

// DecodeTable reads the content of a FileTable. The error is store.ErrDecode.
func DecodeTable(data []byte) (*store.Table, error) {
	table, err := decodePointer(data, store.TableFrom)
	if err == nil && table.Records == nil {
		table.Records = map[string]store.Record{}
	}
	return table, err
}

func decodePointer[Value, Encoded any](data []byte, from func(Encoded) Value) (*Value, error) {
	value, err := store.Decode(data, from)
	if err != nil {
		return nil, err
	}
	return &value, nil
}
