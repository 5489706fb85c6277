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

// layers are the folders of the product from the top down: the programs, then those of
// internal.
var layers = []string{"cmd", "app", "transport", "protocol", "coordination", "state"}

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

// productFiles returns the product's files; the paths of those in internal begin with their
// layer.
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
	Convey("Imports go downward only", t, func() {
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
	Convey("The machines of coordination do no I/O and have no clock or dice of their own", t, func() {
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
	Convey("Goroutines start in one place, and there is no switch", t, func() {
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
