package shell

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
)

// result holds the rows that answer a query, and the nodes that could not be
// reached.
type result struct {
	rows        []row
	unreachable []string
}

// row is one row of a result. As JSON it is an object whose keys are the
// columns in alphabetical order.
type row interface {
	// cells returns the values in the order of the query's columns.
	cells() []any
}

// sortedRows returns items as rows, sorted by a key that is unique to each item.
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

func (s *Shell) render(columns []string, res result) {
	if s.JSON {
		s.renderJSON(res)
		return
	}
	table := tabwriter.NewWriter(s.Out, minCellWidth, tabWidth, cellPadding, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range res.rows {
		var cells []string
		for _, cell := range row.cells() {
			cells = append(cells, fmt.Sprint(cell))
		}
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	_ = table.Flush()
}

func (s *Shell) renderJSON(res result) {
	// The error is ignored: every value in a row can be written as JSON.
	data, _ := json.MarshalIndent(struct {
		NotReached []string `json:"not_reached"`
		Rows       []row    `json:"rows"`
	}{res.unreachable, res.rows}, "", "  ")
	s.write(string(data) + "\n")
}
