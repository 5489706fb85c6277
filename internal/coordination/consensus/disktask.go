package consensus

import "tansyseam/internal/state/versionfile"

// RunDiskTask carries out a task that a SyncGate gave, a Save or RemoveCorrupt. The
// error is that of the disk.
func RunDiskTask(files *versionfile.Store, task Effect) error {
	if save, ok := task.(Save); ok {
		return files.Put(save.Kind, save.Sequence, save.Data)
	}
	for _, kind := range FileKinds() {
		if err := files.RemoveCorrupt(kind); err != nil {
			return err
		}
	}
	return nil
}
