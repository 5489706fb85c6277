package e2e

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// Programs says where the programs of a fleet are.
type Programs struct {
	// Directory has the programs of this build.
	Directory string
	// OtherBuild, if given, has tansyseam-proxy and tansyseam-control of another
	// build. Every second process of a kind runs it, as during a roll-out.
	OtherBuild string
	// OtherFirst says that the first process of a kind is of the other build.
	OtherFirst bool
}

// Path returns the program of the process with an index among those of its kind.
func (p Programs) Path(program string, index int) string {
	other := (index%2 == 1) != p.OtherFirst
	if p.OtherBuild != "" && other {
		return filepath.Join(p.OtherBuild, program)
	}
	return filepath.Join(p.Directory, program)
}

// CurrentPath returns a program of this build.
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
