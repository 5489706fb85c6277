package e2e

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/test/history"
	"tansyseam/test/simulation"
)

const (
	briefPage      = "../../docs/brief.md"
	briefDirectory = "../../docs/brief"
)

// partLink is a link from the brief's page to one of its parts.
var partLink = regexp.MustCompile(`\]\(brief/([^)]+)\)`)

// readBrief gives the text of the brief's page and of all its parts, each of which the
// page must link.
func readBrief() string {
	text, err := os.ReadFile(briefPage)
	So(err, ShouldBeNil)
	page := string(text)
	var linked, parts []string
	for _, match := range partLink.FindAllStringSubmatch(page, -1) {
		linked = append(linked, match[1])
	}
	entries, err := os.ReadDir(briefDirectory)
	So(err, ShouldBeNil)
	for _, entry := range entries {
		part, err := os.ReadFile(filepath.Join(briefDirectory, entry.Name()))
		So(err, ShouldBeNil)
		parts = append(parts, entry.Name())
		page += "\n" + string(part)
	}
	slices.Sort(linked)
	So(len(parts), ShouldBeGreaterThan, 0)
	So(linked, ShouldResemble, parts)
	return page
}

// testNames are those of all tests of the repository.
func testNames() map[string]bool {
	found := map[string]bool{}
	for _, root := range []string{"../../internal", "../../cmd", "../../platform", "../../test"} {
		_ = filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, "_test.go") {
				text, _ := os.ReadFile(path)
				for _, match := range regexp.MustCompile(`(?m)^func (Test\w+)\(`).FindAllStringSubmatch(string(text), -1) {
					found[match[1]] = true
				}
			}
			return nil
		})
	}
	return found
}

// knownNames are what a citation may name, by its kind.
func knownNames() map[string]map[string]bool {
	names := map[string]map[string]bool{"test": testNames(), "run": {}, "trouble": {}, "rule": {}, "plant": {}}
	for _, scenario := range Scenarios() {
		names["run"][scenario.Name] = true
	}
	for _, trouble := range simulation.FaultNames() {
		names["trouble"][trouble] = true
	}
	for _, rule := range history.Rules() {
		names["rule"][rule.Name] = true
	}
	plant := reflect.TypeFor[simulation.Defects]()
	for index := range plant.NumField() {
		names["plant"][plant.Field(index).Name] = true
	}
	return names
}

// pageFaults lists the citations of what does not exist, and what no citation names.
func pageFaults(page string, names map[string]map[string]bool) []string {
	var faults []string
	cited := map[string]bool{}
	for _, match := range regexp.MustCompile("`(test|run|trouble|rule|plant):([^`]+)`").FindAllStringSubmatch(page, -1) {
		cited[match[1]+":"+match[2]] = true
		if !names[match[1]][match[2]] {
			faults = append(faults, "there is no "+match[1]+" "+match[2])
		}
	}
	for _, match := range regexp.MustCompile("`((?:coordination|protocol|state|transport|app)/[\\w/]+)`").FindAllStringSubmatch(page, -1) {
		if _, err := os.Stat(filepath.Join("../../internal", match[1])); err != nil {
			faults = append(faults, "there is no "+match[1])
		}
	}
	for _, kind := range []string{"run", "trouble", "rule", "plant"} {
		for name := range names[kind] {
			if !cited[kind+":"+name] {
				faults = append(faults, "not cited: "+kind+" "+name)
			}
		}
	}
	return faults
}

func TestBriefPage(t *testing.T) {
	Convey("Each test, run, trouble, rule, planted defect and package that the pages of the brief name exists, and none is left out", t, func() {
		page := readBrief()
		names := knownNames()
		So(len(names["test"]), ShouldBeGreaterThan, 20)
		So(pageFaults(page, names), ShouldBeEmpty)
		So(pageFaults(page+"`run:nosuch` `app/nosuch`", names), ShouldHaveLength, 2)
		So(pageFaults(strings.ReplaceAll(page, "`trouble:rush`", ""), names), ShouldHaveLength, 1)
	})
}
