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

var gap = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

var section = regexp.MustCompile(`\{\{#([^}|]+)\}\}`)

// keep keeps what stands between {{#a}} and {{/a}} where the value is true or
// given, and leaves it out elsewhere.
func keep(template string, fields map[string]any) (string, error) {
	for {
		at := section.FindStringSubmatchIndex(template)
		if at == nil {
			return template, nil
		}
		name := template[at[2]:at[3]]
		end := "{{/" + name + "}}"
		inside, after, isEnded := strings.Cut(template[at[1]:], end)
		if !isEnded {
			return "", fmt.Errorf("no end of %s", name)
		}
		if value := find(fields, name); value == nil || value == false {
			inside = ""
		}
		template = template[:at[0]] + inside + after
	}
}

func find(fields map[string]any, path string) any {
	var value any = fields
	for _, name := range strings.Split(path, ".") {
		value = under(value, name)
	}
	return value
}

// Fill fills the gaps of a settings template from fields.
func Fill(template string, fields map[string]any) (string, error) {
	var missed []string
	template, err := keep(template, fields)
	if err != nil {
		return "", err
	}
	filled := gap.ReplaceAllStringFunc(template, func(text string) string {
		parts := gap.FindStringSubmatch(text)
		value := find(fields, parts[1])
		if value == nil {
			missed = append(missed, parts[1])
		}
		data, _ := json.Marshal(value)
		if plain, isText := value.(string); isText && parts[2] == "" {
			return plain
		}
		return string(data)
	})
	if len(missed) > 0 {
		return "", fmt.Errorf("no fields %v", missed)
	}
	return filled, nil
}

func under(value any, name string) any {
	if table, isTable := value.(map[string]any); isTable {
		return table[name]
	}
	list, isList := value.([]any)
	at, err := strconv.Atoi(name)
	if !isList || err != nil || at < 0 || at >= len(list) {
		return nil
	}
	return list[at]
}
