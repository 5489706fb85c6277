package bindings

import (
	"fmt"

	"tansyseam/internal/protocol/schema"
)

// violationList gathers the violations found in one body.
type violationList []schema.Violation

// add adds a violation at a JSON path, with a reason in the format of package fmt.
func (l *violationList) add(path, format string, arguments ...any) {
	*l = append(*l, schema.Violation{Path: path, Reason: fmt.Sprintf(format, arguments...)})
}
