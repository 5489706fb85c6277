package shell

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"

	. "github.com/smartystreets/goconvey/convey"
)

const nodesJSON = `"nodes":[
	{"node":"c1","kind":"seamc","door":"c1","standing":"live"},
	{"node":"d1","kind":"seamd","door":"d1","standing":"live"},
	{"node":"d2","kind":"seamd","door":"d2","standing":"live"},
	{"node":"d3","kind":"seamd","door":"d3","standing":"dead"}]`

func respond(address, _ string) ([]byte, error) {
	bodies := map[string]string{
		"c1": `{` + nodesJSON + `,"primacy":true,"sets":{"sequence":4,"bindings":[],"taken":[{"sequence":5,"bindings":[],"moment_ms":0}]},
			"entries":[{"at":1,"subject":"database db","what":"term closed","evidence":"five nodes"}]}`,
		"d1": `{` + nodesJSON + `,"lease_ms":900,"sets":{"sequence":4,"bindings":[],"taken":[]}}`,
		"d2": `{` + nodesJSON + `,"lease_ms":0,"sets":{"sequence":3,"bindings":[],"taken":[]}}`,
	}
	body, found := bodies[address]
	if !found {
		return nil, errors.New("refused")
	}
	return []byte(body), nil
}

func TestShell(t *testing.T) {
	ask := func(asJSON bool, line string) (string, error) {
		var out bytes.Buffer
		err := NewWithRequester("d1", asJSON, &out, respond).Run(line)
		return out.String(), err
	}
	Convey("The bindings of a node without a lease are marked as stale, and unreachable nodes are named", t, func() {
		out, err := ask(false, "bindings")
		So(errors.Is(err, ErrUnreachable), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "d3 is dead")
		So(out, ShouldContainSubstring, "old news")
		So(out, ShouldContainSubstring, "being carried to all nodes")
		So(strings.Count(out, "in force"), ShouldEqual, 2)
	})
	Convey("The audit log is printed with its evidence, as a table or as JSON", t, func() {
		out, err := ask(false, "why db")
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "five nodes")
		out, err = ask(true, "why db")
		So(err, ShouldBeNil)
		So(json.Valid([]byte(out)), ShouldBeTrue)
	})
	Convey("Invalid queries are errors, and an unknown query lists the existing ones", t, func() {
		for _, line := range []string{"nonsense", "nodes and more", "why nobody", "counters nobody"} {
			_, err := ask(false, line)
			So(errors.Is(err, ErrBadQuery), ShouldBeTrue)
		}
		_, err := ask(false, "nonsense")
		So(err.Error(), ShouldContainSubstring, "writers")
	})
}

func TestQueryTable(t *testing.T) {
	Convey("Every listed query is registered under a unique name and has help, columns and a function", t, func() {
		allQueries := slices.Concat(queryLists...)
		So(len(QueryNames()), ShouldEqual, len(allQueries))
		for _, q := range allQueries {
			So(q.name, ShouldNotBeBlank)
			So(q.help, ShouldNotBeBlank)
			So(q.columns, ShouldNotBeEmpty)
			So(q.run, ShouldNotBeNil)
		}
	})
}
