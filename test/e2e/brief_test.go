package e2e

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/test/history"
	"tansyseam/test/simulation"
)

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
	Convey("Each test, run, trouble, rule, planted defect and package that docs/brief.md names exists, and none is left out", t, func() {
		page, err := os.ReadFile("../../docs/brief.md")
		So(err, ShouldBeNil)
		names := knownNames()
		So(len(names["test"]), ShouldBeGreaterThan, 20)
		So(pageFaults(string(page), names), ShouldBeEmpty)
		So(pageFaults(string(page)+"`run:nosuch` `app/nosuch`", names), ShouldHaveLength, 2)
		So(pageFaults(strings.ReplaceAll(string(page), "`trouble:rush`", ""), names), ShouldHaveLength, 1)
	})
}
