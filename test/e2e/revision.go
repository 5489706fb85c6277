package e2e

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// ErrNoRevision says that the repository does not have a revision, as a shallow
// clone may not.
var ErrNoRevision = errors.New("no such revision in this repository")

// programSource is where a program's main package lay in a tree.
type programSource struct{ program, module, directory string }

// sourcesOf returns the sources of the programs in a tree. Up to 6cad5d2 they lay in a
// module of their own, under other names.
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
// repository at root into a directory, by a work tree that it removes again. The error
// is ErrNoRevision where the repository does not have it.
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
