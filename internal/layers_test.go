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

func layerOf(path string) int {
	for rank, layer := range layers {
		if path == layer || strings.HasPrefix(path, layer+"/") {
			return rank
		}
	}
	return -1
}

type source struct {
	path string
	text string
	uses []string
}

// sources returns the product's files; the paths of those in internal begin with their
// layer.
func sources() []source {
	internal, programs := sourcesIn("."), sourcesIn("../cmd")
	So(len(internal), ShouldBeGreaterThan, 30)
	So(len(programs), ShouldBeGreaterThan, 2)
	return append(internal, programs...)
}

func sourcesIn(root string) []source {
	var list []source
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
		one := source{path: strings.TrimPrefix(path, "../"), text: string(text)}
		for _, use := range file.Imports {
			one.uses = append(one.uses, strings.Trim(use.Path.Value, `"`))
		}
		list = append(list, one)
		return nil
	})
	So(err, ShouldBeNil)
	return list
}

func TestLayers(t *testing.T) {
	const module = "tansyseam/internal/"
	Convey("Imports go downward only", t, func() {
		for _, one := range sources() {
			own := layerOf(one.path)
			SoMsg(one.path, own, ShouldBeGreaterThanOrEqualTo, 0)
			for _, use := range one.uses {
				if inner, isOurs := strings.CutPrefix(use, module); isOurs {
					SoMsg(one.path+" imports "+use, layerOf(inner), ShouldBeGreaterThanOrEqualTo, own)
				}
			}
		}
	})
	Convey("The machines of coordination do no I/O and have no clock or dice of their own", t, func() {
		barred := []string{"os", "net", "net/http", "math/rand", "math/rand/v2", "crypto/rand", "sync"}
		for _, one := range sources() {
			if !strings.HasPrefix(one.path, "coordination/") {
				continue
			}
			for _, use := range one.uses {
				SoMsg(one.path, barred, ShouldNotContain, use)
			}
			for _, call := range []string{"time.Now(", "time.Since(", "time.After(", "time.Sleep(", "go func"} {
				SoMsg(one.path, strings.Contains(one.text, call), ShouldBeFalse)
			}
		}
	})
	Convey("Goroutines start in one place, and there is no switch", t, func() {
		for _, one := range sources() {
			isHome := one.path == filepath.Join("transport", "worker", "group.go")
			for _, line := range strings.Split(one.text, "\n") {
				line = strings.TrimSpace(line)
				SoMsg(one.path+": "+line, !isHome && strings.HasPrefix(line, "go "), ShouldBeFalse)
				SoMsg(one.path+": "+line, strings.HasPrefix(line, "switch "), ShouldBeFalse)
			}
		}
	})
}
