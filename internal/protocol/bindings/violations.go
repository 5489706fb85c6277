package bindings

import (
	"fmt"

	"tansyseam/internal/protocol/schema"
)

// violationList collects the violations found in one body.
type violationList []schema.Violation

// add appends a violation at a JSON path. The reason is formatted as by fmt.Sprintf.
func (l *violationList) add(path, format string, arguments ...any) {
	*l = append(*l, schema.Violation{Path: path, Reason: fmt.Sprintf(format, arguments...)})
}
