package modelcheck

import "tansyseam/internal/coordination/consensus"

// files is the content of a disk. Values are replaced, never modified in place.
type files struct {
	identity   []byte
	voterState *consensus.VoterState
	table      []byte
	// keys are the keys of table.
	keys []string
	// torn is the kind of the file whose newest version is damaged, or empty.
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

// persist completes a disk task.
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

// tear leaves the file of a disk task partially written.
func tear(h *host, task consensus.Effect) {
	if save, ok := task.(consensus.Save); ok {
		h.files.torn, h.reportedEpoch = save.Kind, 0
	}
}

// sync completes all disk tasks that are due.
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
