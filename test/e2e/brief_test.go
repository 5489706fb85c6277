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

// partLink matches a link from the brief's page to one of its parts.
var partLink = regexp.MustCompile(`\]\(brief/([^)]+)\)`)

// readBrief returns the text of the brief's page and of all its parts. The page must
// link every part.
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

// testFunctionNames returns the names of all test functions of the repository.
func testFunctionNames() map[string]bool {
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

// citableNames returns the names that a citation may contain, by kind of citation.
func citableNames() map[string]map[string]bool {
	names := map[string]map[string]bool{"test": testFunctionNames(), "run": {}, "trouble": {}, "rule": {}, "plant": {}}
	for _, scenario := range Scenarios() {
		names["run"][scenario.Name] = true
	}
	for _, fault := range simulation.FaultNames() {
		names["trouble"][fault] = true
	}
	for _, rule := range history.Rules() {
		names["rule"][rule.Name] = true
	}
	defects := reflect.TypeFor[simulation.Defects]()
	for index := range defects.NumField() {
		names["plant"][defects.Field(index).Name] = true
	}
	return names
}

// citationErrors returns an entry for each citation of a name that does not exist, and
// for each run, fault, rule and planted defect that the page does not cite.
func citationErrors(page string, names map[string]map[string]bool) []string {
	var problems []string
	cited := map[string]bool{}
	for _, match := range regexp.MustCompile("`(test|run|trouble|rule|plant):([^`]+)`").FindAllStringSubmatch(page, -1) {
		cited[match[1]+":"+match[2]] = true
		if !names[match[1]][match[2]] {
			problems = append(problems, "there is no "+match[1]+" "+match[2])
		}
	}
	for _, match := range regexp.MustCompile("`((?:coordination|protocol|state|transport|app)/[\\w/]+)`").FindAllStringSubmatch(page, -1) {
		if _, err := os.Stat(filepath.Join("../../internal", match[1])); err != nil {
			problems = append(problems, "there is no "+match[1])
		}
	}
	for _, kind := range []string{"run", "trouble", "rule", "plant"} {
		for name := range names[kind] {
			if !cited[kind+":"+name] {
				problems = append(problems, "not cited: "+kind+" "+name)
			}
		}
	}
	return problems
}

func TestBriefPage(t *testing.T) {
	Convey("The brief cites only tests, runs, faults, rules, planted defects and packages that exist, and cites every run, fault, rule and planted defect", t, func() {
		page := readBrief()
		names := citableNames()
		So(len(names["test"]), ShouldBeGreaterThan, 20)
		So(citationErrors(page, names), ShouldBeEmpty)
		So(citationErrors(page+"`run:nosuch` `app/nosuch`", names), ShouldHaveLength, 2)
		So(citationErrors(strings.ReplaceAll(page, "`trouble:rush`", ""), names), ShouldHaveLength, 1)
	})
}
