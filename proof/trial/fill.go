// Package trial runs the programs as real processes in the manner of the
// users' platform, among stand-ins that speak its wire, and checks the
// history of each run against the rules.
package trial

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var gap = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// Fill fills the gaps of a settings template from fields.
func Fill(template string, fields map[string]any) (string, error) {
	var missed []string
	filled := gap.ReplaceAllStringFunc(template, func(text string) string {
		parts := gap.FindStringSubmatch(text)
		var value any = fields
		for _, name := range strings.Split(parts[1], ".") {
			value = under(value, name)
		}
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
