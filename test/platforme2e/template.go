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

// expandSections keeps the content of each section from {{#a}} to {{/a}} if the value at
// path a is present and not false, and removes it otherwise.
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
			return "", fmt.Errorf("section %s has no end", name)
		}
		if value := lookup(fields, name); value == nil || value == false {
			inside = ""
		}
		template = template[:index[0]] + inside + after
	}
}

// lookup returns the value at a dotted path, or nil if there is none.
func lookup(fields map[string]any, path string) any {
	var value any = fields
	for _, name := range strings.Split(path, ".") {
		value = child(value, name)
	}
	return value
}

// FillTemplate fills a template of a deploy file with the platform's fields. {{a.b}} is
// replaced by the text of the value at path a.b, and {{a|json}} by the JSON of the value
// at path a. A placeholder without a field is an error.
func FillTemplate(template string, fields map[string]any) (string, error) {
	var missing []string
	template, err := expandSections(template, fields)
	if err != nil {
		return "", err
	}
	filled := placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value := lookup(fields, parts[1])
		if value == nil {
			missing = append(missing, parts[1])
		}
		data, _ := json.Marshal(value)
		if plain, isString := value.(string); isString && parts[2] == "" {
			return plain
		}
		return string(data)
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("no fields for the placeholders %v", missing)
	}
	return filled, nil
}

// child returns a member of an object by its name or an element of an array by its index,
// or nil if there is none.
func child(value any, name string) any {
	if object, isObject := value.(map[string]any); isObject {
		return object[name]
	}
	list, isArray := value.([]any)
	index, err := strconv.Atoi(name)
	if !isArray || err != nil || index < 0 || index >= len(list) {
		return nil
	}
	return list[index]
}
