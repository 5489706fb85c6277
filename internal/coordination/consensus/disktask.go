package consensus

import "tansyseam/internal/state/versionfile"

// RunDiskTask carries out a disk task returned by SyncGate.Next, which is a Save or a
// RemoveCorrupt. It returns the error of the disk.
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
