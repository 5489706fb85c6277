package consensus

import (
	"github.com/juju/errors"

	"tansyseam/internal/state/store"
	"tansyseam/internal/state/versionfile"
)

// Load reads the state that a Machine has saved. Damaged files are skipped and reported
// to onSkipped. The error is store.ErrDecode if an undamaged file has unexpected
// content, or an error of the disk.
func Load(files *versionfile.Store, onSkipped func(kind string, skipped int)) (PersistentState, error) {
	saved := PersistentState{}
	for _, kind := range FileKinds() {
		latest, skipped, err := files.Latest(kind)
		if skipped > 0 {
			onSkipped(kind, skipped)
			saved.Corrupted = true
		}
		if errors.Is(err, versionfile.ErrNotFound) {
			continue
		}
		if err != nil {
			return saved, errors.Trace(err)
		}
		if err := saved.decode(kind, latest); err != nil {
			return saved, errors.Annotatef(err, "%s %d", kind, latest.Sequence)
		}
	}
	return saved, nil
}

// decode decodes the content of one file into s.
func (s *PersistentState) decode(kind string, latest versionfile.Version) (err error) {
	decoders := map[string]func(){
		FileIdentity:   func() { s.Identity, err = DecodeIdentity(latest.Data) },
		FileVoterState: func() { s.VoterState, err = DecodeVoterState(latest.Data) },
		FileTable: func() {
			s.TableSequence = latest.Sequence
			s.Table, err = DecodeTable(latest.Data)
		},
	}
	decoders[kind]()
	return err
}

// DecodeIdentity decodes the content of a FileIdentity. The error is store.ErrDecode.
func DecodeIdentity(data []byte) (*Identity, error) { return decodePointer(data, IdentityFrom) }

// DecodeVoterState decodes the content of a FileVoterState. The error is
// store.ErrDecode.
func DecodeVoterState(data []byte) (*VoterState, error) { return decodePointer(data, VoterStateFrom) }

// DecodeTable decodes the content of a FileTable. The error is store.ErrDecode.
func DecodeTable(data []byte) (*store.Table, error) {
	table, err := decodePointer(data, store.TableFrom)
	if err == nil && table.Records == nil {
		table.Records = map[string]store.Record{}
	}
	return table, err
}

func decodePointer[Value, Encoded any](data []byte, convert func(Encoded) Value) (*Value, error) {
	value, err := store.Decode(data, convert)
	if err != nil {
		return nil, err
	}
	return &value, nil
}
