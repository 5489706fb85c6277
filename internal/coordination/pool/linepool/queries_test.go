package linepool

import (
	"fmt"
	"strings"

	"tansyseam/internal/state/lineproto"
)

// lastQueryID is the number of the last query in all tests.
var lastQueryID int

func newQuery(action lineproto.Action, text string) Query {
	lastQueryID++
	return Query{ID: fmt.Sprintf("q%d", lastQueryID), Text: text, Statement: lineproto.Statement{Action: action}}
}

func read(key string) Query { return newQuery(lineproto.ActionRead, "read "+key) }

func write(key string) Query { return newQuery(lineproto.ActionWrite, "write "+key) }

func begin() Query { return newQuery(lineproto.ActionBegin, "begin") }

func beginRead() Query { return newQuery(lineproto.ActionBeginReadOnly, "begin read") }

func commit() Query { return newQuery(lineproto.ActionCommit, "commit") }

func rollback() Query { return newQuery(lineproto.ActionRollback, "rollback") }

func set(name, value string) Query {
	query := newQuery(lineproto.ActionSet, "")
	query.Statement.Name, query.Statement.Value = name, value
	return query
}

func prepare(name, text string) Query {
	query := newQuery(lineproto.ActionPrepare, "")
	query.Statement.Name, query.Statement.PreparedText, query.Statement.Write = name, text, strings.HasPrefix(text, "write")
	return query
}

func execute(name, arguments string) Query {
	query := newQuery(lineproto.ActionExecute, "")
	query.Statement.Name, query.Statement.Arguments = name, " "+arguments
	return query
}

func deallocate(name string) Query {
	query := newQuery(lineproto.ActionDeallocate, "")
	query.Statement.Name = name
	return query
}
