package history

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"

	"tansyseam/test/standin"
)

// maxLineBytes is the maximum length of a line in a file that an instance wrote.
const maxLineBytes = 1 << 22

// Load reads the files that the instances of a run wrote to their folders.
// The map instances holds the database of each instance. A missing file counts
// as empty, and a line that was truncated by a crash is skipped. The primary of
// a database is taken to be the instance whose log has the highest last position.
func Load(folder string, instances map[string]string, events []standin.Event) Evidence {
	evidence := Evidence{Events: events, Logs: map[string]map[string][]standin.Entry{}, Writers: map[string]string{}}
	for instance, database := range instances {
		if evidence.Logs[database] == nil {
			evidence.Logs[database] = map[string][]standin.Entry{}
		}
		evidence.Logs[database][instance] = readJSONLines[standin.Entry](filepath.Join(folder, instance, "log.jsonl"))
		evidence.Executions = append(evidence.Executions, readJSONLines[standin.Execution](filepath.Join(folder, instance, "ran.jsonl"))...)
	}
	for database, logs := range evidence.Logs {
		evidence.Writers[database] = furthestLog(logs)
	}
	return evidence
}

// furthestLog returns the name of the instance whose log has the highest last
// position.
func furthestLog(logs map[string][]standin.Entry) string {
	furthest := ""
	for instance, entries := range logs {
		if furthest == "" || isAfter(lastPosition(entries), lastPosition(logs[furthest])) {
			furthest = instance
		}
	}
	return furthest
}

func lastPosition(entries []standin.Entry) standin.Position {
	if len(entries) == 0 {
		return standin.Position{}
	}
	last := entries[len(entries)-1]
	return standin.Position{Term: last.Term, Index: last.Index}
}

func readJSONLines[T any](path string) []T {
	file, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var list []T
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var value T
		if json.Unmarshal(scanner.Bytes(), &value) == nil {
			list = append(list, value)
		}
	}
	return list
}
