// Package golden compares output byte by byte with files that were recorded from an
// earlier build. Running a package's tests with -update records the files again. Do
// this only if a change of the output is intended.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "record the golden files again")

// Check fails the test unless output equals testdata/name, byte by byte.
func Check(t *testing.T, name string, output []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		record(t, path, output)
		return
	}
	recorded, err := os.ReadFile(path)
	if err != nil {
		t.Errorf("reading golden file: %v", err)
		return
	}
	if string(recorded) != string(output) {
		t.Errorf("%s differs\nrecorded: %s\n     now: %s", path, recorded, output)
	}
}

// JSON returns the JSON encoding of an answer as it is sent, followed by a newline. An
// answer of type []byte is treated as already encoded.
func JSON(t *testing.T, answer any) []byte {
	t.Helper()
	data, encoded := answer.([]byte)
	if !encoded {
		var err error
		data, err = json.Marshal(answer)
		if err != nil {
			t.Fatal(err)
		}
	}
	return append(bytes.Clone(data), '\n')
}

func record(t *testing.T, path string, output []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, output, 0o600); err != nil {
		t.Fatal(err)
	}
}
