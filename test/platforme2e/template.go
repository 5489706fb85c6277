// Package platforme2e runs the programs as real processes in the manner of the
// users' platform, among stand-ins that speak its wire, and checks the
// history of each run against the rules.
package platforme2e

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

var sectionStart = regexp.MustCompile(`\{\{#([^}|]+)\}\}`)

// expandSections keeps what stands between {{#a}} and {{/a}} where the value is true or
// given, and leaves it out elsewhere.
func expandSections(template string, fields map[string]any) (string, error) {
	for {
		index := sectionStart.FindStringSubmatchIndex(template)
		if index == nil {
			return template, nil
		}
		name := template[index[2]:index[3]]
		end := "{{/" + name + "}}"
		inside, after, ended := strings.Cut(template[index[1]:], end)
		if !ended {
			return "", fmt.Errorf("no end of %s", name)
		}
		if value := lookup(fields, name); value == nil || value == false {
			inside = ""
		}
		template = template[:index[0]] + inside + after
	}
}

func lookup(fields map[string]any, path string) any {
	var value any = fields
	for _, name := range strings.Split(path, ".") {
		value = child(value, name)
	}
	return value
}

// FillTemplate fills the gaps of a settings template from fields.
func FillTemplate(template string, fields map[string]any) (string, error) {
	var missed []string
	template, err := expandSections(template, fields)
	if err != nil {
		return "", err
	}
	filled := placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value := lookup(fields, parts[1])
		if value == nil {
			missed = append(missed, parts[1])
		}
		data, _ := json.Marshal(value)
		if plain, isString := value.(string); isString && parts[2] == "" {
			return plain
		}
		return string(data)
	})
	if len(missed) > 0 {
		return "", fmt.Errorf("no fields %v", missed)
	}
	return filled, nil
}

func child(value any, name string) any {
	if table, isObject := value.(map[string]any); isObject {
		return table[name]
	}
	list, isArray := value.([]any)
	index, err := strconv.Atoi(name)
	if !isArray || err != nil || index < 0 || index >= len(list) {
		return nil
	}
	return list[index]
}
