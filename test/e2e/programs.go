package e2e

import "path/filepath"

// Programs says where the programs of a fleet are.
type Programs struct {
	// Folder has the programs of this build.
	Folder string
	// Beside, if given, has tansyseam-proxy and tansyseam-control of another
	// build. Every second process of a kind runs it, as during a roll-out.
	Beside string
	// OtherFirst says that the first process of a kind is of the other build.
	OtherFirst bool
}

// Path gives the program of the process with an index among those of its kind.
func (p Programs) Path(program string, index int) string {
	isOther := (index%2 == 1) != p.OtherFirst
	if p.Beside != "" && isOther {
		return filepath.Join(p.Beside, program)
	}
	return filepath.Join(p.Folder, program)
}

// Own gives a program of this build.
func (p Programs) Own(program string) string { return filepath.Join(p.Folder, program) }
