package modelcheck

import "tansyseam/internal/coordination/consensus"

// files is what a disk holds. Values are replaced, never changed.
type files struct {
	identity   []byte
	voterState *consensus.VoterState
	table      []byte
	// keys are those of table.
	keys []string
	// torn is the kind of file whose newest version is damaged, if any.
	torn string
}

func (f files) load() consensus.PersistentState {
	saved := consensus.PersistentState{Corrupted: f.torn != ""}
	if f.identity != nil {
		saved.Identity = must(consensus.DecodeIdentity(f.identity))
	}
	if f.voterState != nil {
		voterState := *f.voterState
		saved.VoterState = &voterState
	}
	if f.table != nil {
		saved.Table = must(consensus.DecodeTable(f.table))
	}
	return saved
}

// persist completes a task of the disk.
func persist(h *host, task consensus.Effect) {
	save, isSave := task.(consensus.Save)
	if !isSave {
		h.files.torn = ""
		return
	}
	h.files.save(save)
	if h.files.torn == save.Kind {
		h.files.torn = ""
	}
}

func (f *files) save(save consensus.Save) {
	savers := map[string]func(){
		consensus.FileIdentity:   func() { f.identity = save.Data },
		consensus.FileVoterState: func() { f.voterState = must(consensus.DecodeVoterState(save.Data)) },
		consensus.FileTable: func() {
			f.table = save.Data
			f.keys = keysOf(must(consensus.DecodeTable(save.Data)))
		},
	}
	savers[save.Kind]()
}

// tear leaves a file half written.
func tear(h *host, task consensus.Effect) {
	if save, ok := task.(consensus.Save); ok {
		h.files.torn, h.reportedEpoch = save.Kind, 0
	}
}

// sync has the disk do all that is due.
func (w *world) sync(h *host) {
	for h.running && !h.diskHung {
		task, due := h.gate.Next(w.now)
		if !due {
			return
		}
		persist(h, task)
		w.release(h, h.gate.Done(true, w.now))
	}
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
