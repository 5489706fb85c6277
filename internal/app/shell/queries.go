package shell

import (
	"maps"
	"slices"
)

// query describes one kind of query. To add a query, add an element to the list in
// the file of its subject, and define a row type and a function next to the list.
type query struct {
	// name is the first word of the query.
	name string
	// help describes the answer in one line.
	help string
	// maxArgs is the maximum number of words after the name; 0 allows none.
	maxArgs int
	// columns are the table headers, in the order of the cells of the query's rows.
	columns []string
	// run returns the rows. Its errors are ErrBadQuery and ErrUnreachable.
	run func(s *Shell, args []string) (result, error)
}

// queryLists holds all queries, grouped by subject.
var queryLists = [][]query{nodeQueries, instanceQueries, bindingQueries, controlQueries, helpQueries}

// queries holds all queries by name. It is filled by init, because the query help
// reads it and Go does not allow a variable whose initializer refers to itself.
var queries = map[string]query{}

func init() {
	for _, q := range slices.Concat(queryLists...) {
		queries[q.name] = q
	}
}

// QueryNames returns the names of all queries, sorted.
func QueryNames() []string { return slices.Sorted(maps.Keys(queries)) }

var helpQueries = []query{
	{name: "help", help: "this list", columns: []string{"query", "answers"}, run: (*Shell).help},
}

type helpRow struct {
	Answers string `json:"answers"`
	Query   string `json:"query"`
}

func (r helpRow) cells() []any { return []any{r.Query, r.Answers} }

func (s *Shell) help([]string) (result, error) {
	res := result{}
	for _, name := range QueryNames() {
		res.rows = append(res.rows, helpRow{Answers: queries[name].help, Query: name})
	}
	return res, nil
}
