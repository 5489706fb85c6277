package shell

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
)

// result is what a query found, with the nodes that could not be asked.
type result struct {
	rows        []row
	unreachable []string
}

// row is one row of a result. As JSON it is an object whose keys are the
// columns in alphabetical order.
type row interface {
	// cells gives the values in the order of the query's columns.
	cells() []any
}

// sortedRows gives items as rows, in the order of a key that differs for each.
func sortedRows[T row](items []T, key func(T) string) []row {
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	var rows []row
	for _, item := range items {
		rows = append(rows, item)
	}
	return rows
}

// Layout of tables.
const (
	minCellWidth = 2
	tabWidth     = 4
	cellPadding  = 2
)

func (s *Shell) render(columns []string, found result) {
	if s.JSON {
		s.renderJSON(found)
		return
	}
	table := tabwriter.NewWriter(s.Out, minCellWidth, tabWidth, cellPadding, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range found.rows {
		var cells []string
		for _, cell := range row.cells() {
			cells = append(cells, fmt.Sprint(cell))
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	_ = table.Flush()
}

func (s *Shell) renderJSON(found result) {
	// Rows hold nothing that JSON cannot write.
	data, _ := json.MarshalIndent(struct {
		NotReached []string `json:"not_reached"`
		Rows       []row    `json:"rows"`
	}{found.unreachable, found.rows}, "", "  ")
	s.write(string(data) + "\n")
}
