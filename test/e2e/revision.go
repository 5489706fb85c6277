package e2e

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// ErrNoRevision is returned when the repository does not contain a revision, for example
// because the repository is a shallow clone.
var ErrNoRevision = errors.New("no such revision in this repository")

// programSource is the location of a program's main package in a source tree.
type programSource struct{ program, module, directory string }

// sourcesOf returns the locations of the programs' main packages in a source tree. In
// revisions up to 6cad5d2 they were in a separate module, under other names.
func sourcesOf(tree string) []programSource {
	if _, err := os.Stat(filepath.Join(tree, "pooler")); err == nil {
		module := filepath.Join(tree, "pooler")
		return []programSource{
			{program: "tansyseam-proxy", module: module, directory: "./cmd/seamd"},
			{program: "tansyseam-control", module: module, directory: "./cmd/seamc"},
		}
	}
	return []programSource{
		{program: "tansyseam-proxy", module: tree, directory: "./cmd/tansyseam-proxy"},
		{program: "tansyseam-control", module: tree, directory: "./cmd/tansyseam-control"},
	}
}

// BuildRevision compiles tansyseam-proxy and tansyseam-control of a revision of the
// repository at root into a directory. It checks the revision out into a temporary work
// tree. The error is ErrNoRevision if the repository does not contain the revision.
func BuildRevision(root, directory, revision string) error {
	if err := exec.Command("git", "-C", root, "cat-file", "-e", revision+"^{commit}").Run(); err != nil {
		return fmt.Errorf("%s: %w", revision, ErrNoRevision)
	}
	tree, err := os.MkdirTemp("", "revision")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(tree) }()
	if out, err := exec.Command("git", "-C", root, "worktree", "add", "--force", "--detach", tree, revision).CombinedOutput(); err != nil {
		return fmt.Errorf("work tree of %s: %w: %s", revision, err, out)
	}
	defer func() { _ = exec.Command("git", "-C", root, "worktree", "remove", "--force", tree).Run() }()
	for _, source := range sourcesOf(tree) {
		command := exec.Command("go", "build", "-o", filepath.Join(directory, source.program), source.directory)
		command.Dir = source.module
		if out, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s of %s: %w: %s", source.program, revision, err, out)
		}
	}
	return nil
}
