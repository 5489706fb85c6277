package e2e

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// Programs holds the locations of the programs of a fleet.
type Programs struct {
	// Directory contains the programs of this build.
	Directory string
	// OtherBuild, if given, is a directory that contains tansyseam-proxy and
	// tansyseam-control of another build. Every second process of a kind runs them, as
	// during a roll-out.
	OtherBuild string
	// OtherFirst is true if the first process of a kind runs the other build.
	OtherFirst bool
}

// Path returns the path of a program. The index is that of the process among those of
// its kind.
func (p Programs) Path(program string, index int) string {
	useOther := (index%2 == 1) != p.OtherFirst
	if p.OtherBuild != "" && useOther {
		return filepath.Join(p.OtherBuild, program)
	}
	return filepath.Join(p.Directory, program)
}

// CurrentPath returns the path of a program of this build.
func (p Programs) CurrentPath(program string) string { return filepath.Join(p.Directory, program) }

// Build compiles the product's programs and the stand-in instance of a source
// tree into a directory.
func Build(root, directory string, race bool) error {
	args := []string{"build"}
	if race {
		args = append(args, "-race")
	}
	args = append(args, "-o", directory+"/", "./cmd/...", "./test/cmd/standin")
	command := exec.Command("go", args...)
	command.Dir = root
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	return nil
}
