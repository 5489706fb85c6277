package shell

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/juju/errors"

	. "github.com/smartystreets/goconvey/convey"

	"tansyseam/test/golden"
)

// fleetAnswers holds the answers of each node, by address and path.
var fleetAnswers = map[string]string{
	"c1 /v1/fleet": `{"nodes":[
		{"node":"c1","kind":"seamc","zone":"za","door":"c1","standing":"live","silent_ms":3,"weight":0,"version":2},
		{"node":"d1","kind":"seamd","zone":"za","door":"d1","standing":"live","silent_ms":20,"weight":2.5,"version":2},
		{"node":"d2","kind":"seamd","zone":"zb","door":"d2","standing":"live","silent_ms":1,"weight":1,"version":2},
		{"node":"d3","kind":"seamd","zone":"zb","door":"d3","standing":"dead","silent_ms":9000,"weight":1,"version":2}],
		"primacy":true,"epoch":{"epoch":7,"primary":"c1","backup":"c2"},"stamp":{"epoch":7,"sequence":31},
		"sets":{"sequence":4,"bindings":[{},{}],"taken":[{"sequence":4,"bindings":[{},{}],"moment_ms":1800000000000},
			{"sequence":5,"bindings":[{}],"moment_ms":0},{"sequence":6,"bindings":[],"moment_ms":1800000001234}]},
		"duties":[{"duty":"failover/db","is_held":true},{"duty":"failover/other","is_held":false}],
		"leases":[{"node":"d2","epoch":7,"sequence":30,"shows":4},{"node":"d1","epoch":7,"sequence":31,"shows":4}],
		"writers":[{"Database":"db","Term":3,"Primary":"i-1","Phase":"open","Required":{"i-3":"x","i-2":"y"},"Candidates":null,"Why":"<none>"}],
		"entries":[{"at":1000000,"subject":"database db","what":"term closed","evidence":"five nodes"},{"at":2000000,"subject":"control","what":"took primacy","evidence":"x"}]}`,
	"d1 /v1/fleet": `{"nodes":[],"lease_ms":900,"sets":{"sequence":4,"bindings":[{}],"taken":[]},"instances":[
		{"instance":{"instance":"i-1","role":"primary","term":3,"leaving":false},"position":{"term":3,"index":41},"heard_ms":12,"answered_ms":5,"fresh_ms":6,
			"sessions":2,"share":5,"admission":{"window":3.456,"cal_ns":1234567,"threshold_ns":2000000,"open":1,"ghosts":2,"beta":0.5,"max":16,"seen":99}},
		{"instance":{"instance":"i-2","role":"replica","term":3,"leaving":true},"position":{"term":3,"index":40},"heard_ms":1,"answered_ms":2,"fresh_ms":3,"sessions":0,"share":4,"admission":{}}]}`,
	"d2 /v1/fleet":        `{"nodes":[],"lease_ms":0,"sets":{"sequence":3,"bindings":[],"taken":[]},"instances":[]}`,
	"c1 /v1/vitals":       `{"is_ready":true,"why":"","epoch":7,"sequence":31}`,
	"d1 /v1/vitals":       `{"is_ready":true,"why":"","epoch":7,"sequence":4,"sessions":2,"lease_ms":900}`,
	"d2 /v1/vitals":       `{"is_ready":false,"why":"no lease from the control primary","epoch":6,"sequence":3,"sessions":0,"lease_ms":0}`,
	"c1 /v1/changes/list": `{"changes":[{"id":"later","at_ms":1800000005000,"bindings":[{},{}]}]}`,
	"c1 /v1/counters":     `{"node":"c1","counters":{"b":2,"a":-1}}`,
	"d1 /v1/counters":     `{"node":"d1","counters":{}}`,
}

func respondGolden(address, path string) ([]byte, error) {
	body, found := fleetAnswers[address+" "+path]
	if !found {
		return nil, errors.New("refused")
	}
	return []byte(body), nil
}

func TestGoldenOutput(t *testing.T) {
	lines := []string{
		"", "help", "nodes", "vitals", "instances", "instances i-2", "instances none", "windows", "windows i-1", "bindings", "changes", "epochs",
		"duties", "leases", "writers", "why", "why db", "why control", "why nobody", "counters", "counters d1", "counters nobody", "nonsense",
		"nodes and more", "why a b",
	}
	Convey("The output of every query, as a table and as JSON, matches its golden file", t, func() {
		for _, asJSON := range []bool{false, true} {
			for _, line := range lines {
				var out bytes.Buffer
				err := NewWithRequester("c1", asJSON, &out, respondGolden).Run(line)
				text := fmt.Sprintf("%s\nerror: %v\nbad query: %v\nnot reached: %v\n",
					out.String(), err, errors.Is(err, ErrBadQuery), errors.Is(err, ErrUnreachable))
				golden.Check(t, fmt.Sprintf("%s-json-%v.txt", strings.ReplaceAll(line, " ", "-"), asJSON), []byte(text))
			}
		}
	})
	Convey("A cluster without a reachable control primary, and an address without a node, are reported", t, func() {
		var text strings.Builder
		for _, address := range []string{"d1", "nowhere"} {
			for _, name := range QueryNames() {
				var out bytes.Buffer
				err := NewWithRequester(address, false, &out, respondGolden).Run(name)
				fmt.Fprintf(&text, "%s at %s\n%s%v\n", name, address, out.String(), err)
			}
		}
		golden.Check(t, "unreached.txt", []byte(text.String()))
	})
}

func TestGoldenPrompt(t *testing.T) {
	Convey("A prompt answers each line, continues after an error, and returns the error of the last query", t, func() {
		var out bytes.Buffer
		shell := NewWithRequester("c1", false, &out, respondGolden)
		So(shell.RunInteractive(strings.NewReader("duties\n\nnonsense\nquit\nduties\n")), ShouldHaveSameTypeAs, badQuery(""))
		So(shell.RunInteractive(strings.NewReader("nonsense\nchanges")), ShouldBeNil)
		golden.Check(t, "prompt.txt", out.Bytes())
	})
}
