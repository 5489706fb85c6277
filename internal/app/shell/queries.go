package shell

import (
	"maps"
	"slices"
)

// query is one kind of query. A new one is a row of the list of the file that
// it belongs to, with a row type and a function beside it.
type query struct {
	// name is the word by which operators ask.
	name string
	// help says in a line what the query answers.
	help string
	// maxArgs is how many words may follow the name; 0 for none.
	maxArgs int
	// columns head the table, in the order of the cells of the query's rows.
	columns []string
	// run finds the rows. Its errors are ErrBadQuery and ErrUnreachable.
	run func(s *Shell, args []string) (result, error)
}

// queryLists holds every query, by what it is about.
var queryLists = [][]query{nodeQueries, instanceQueries, bindingQueries, controlQueries, helpQueries}

// queries holds them by name. It is filled by init: help, one of the queries,
// reads it, and a variable must not be initialised from itself.
var queries = map[string]query{}

func init() {
	for _, listed := range slices.Concat(queryLists...) {
		queries[listed.name] = listed
	}
}

// QueryNames lists the queries, sorted.
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
	found := result{}
	for _, name := range QueryNames() {
		found.rows = append(found.rows, helpRow{Answers: queries[name].help, Query: name})
	}
	return found, nil
}
