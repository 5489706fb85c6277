package internal

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// layers lists the layers of the product from top to bottom: the programs in cmd, then
// the directories of internal.
var layers = []string{"cmd", "app", "transport", "protocol", "coordination", "state"}

// layerRank returns the index in layers of the layer that a path belongs to, or -1 if it
// belongs to none.
func layerRank(path string) int {
	for rank, layer := range layers {
		if path == layer || strings.HasPrefix(path, layer+"/") {
			return rank
		}
	}
	return -1
}

type sourceFile struct {
	path    string
	text    string
	imports []string
}

// productFiles returns the product's Go files without tests. Their paths begin with the
// name of their layer: paths are relative to internal, or to the parent directory of cmd.
func productFiles() []sourceFile {
	internalFiles, commands := productFilesIn("."), productFilesIn("../cmd")
	So(len(internalFiles), ShouldBeGreaterThan, 30)
	So(len(commands), ShouldBeGreaterThan, 2)
	return append(internalFiles, commands...)
}

func productFilesIn(root string) []sourceFile {
	var files []sourceFile
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, text, parser.ImportsOnly)
		if err != nil {
			return err
		}
		source := sourceFile{path: strings.TrimPrefix(path, "../"), text: string(text)}
		for _, spec := range file.Imports {
			source.imports = append(source.imports, strings.Trim(spec.Path.Value, `"`))
		}
		files = append(files, source)
		return nil
	})
	So(err, ShouldBeNil)
	return files
}

func TestLayers(t *testing.T) {
	const module = "tansyseam/internal/"
	Convey("Each file belongs to a layer and imports only its own layer and layers below it", t, func() {
		for _, source := range productFiles() {
			ownRank := layerRank(source.path)
			SoMsg(source.path, ownRank, ShouldBeGreaterThanOrEqualTo, 0)
			for _, importPath := range source.imports {
				if internalPath, isInternal := strings.CutPrefix(importPath, module); isInternal {
					SoMsg(source.path+" imports "+importPath, layerRank(internalPath), ShouldBeGreaterThanOrEqualTo, ownRank)
				}
			}
		}
	})
	Convey("The state machines in coordination do no I/O, start no goroutines, and use no locks, clock or source of random numbers", t, func() {
		forbidden := []string{"os", "net", "net/http", "math/rand", "math/rand/v2", "crypto/rand", "sync"}
		for _, source := range productFiles() {
			if !strings.HasPrefix(source.path, "coordination/") {
				continue
			}
			for _, importPath := range source.imports {
				SoMsg(source.path, forbidden, ShouldNotContain, importPath)
			}
			for _, call := range []string{"time.Now(", "time.Since(", "time.After(", "time.Sleep(", "go func"} {
				SoMsg(source.path, strings.Contains(source.text, call), ShouldBeFalse)
			}
		}
	})
	Convey("Only transport/worker/group.go starts goroutines, and no file has a switch statement", t, func() {
		for _, source := range productFiles() {
			mayStartGoroutines := source.path == filepath.Join("transport", "worker", "group.go")
			for _, line := range strings.Split(source.text, "\n") {
				line = strings.TrimSpace(line)
				SoMsg(source.path+": "+line, !mayStartGoroutines && strings.HasPrefix(line, "go "), ShouldBeFalse)
				SoMsg(source.path+": "+line, strings.HasPrefix(line, "switch "), ShouldBeFalse)
			}
		}
	})
}
