package e2e

import (
	"encoding/json"
	"os/exec"
	"strings"
)

func (r *Run) checkShell() {
	ask := func(want int, words ...string) string {
		command := exec.Command(r.Programs.CurrentPath("tansyseamctl"), words...)
		out, _ := command.CombinedOutput()
		if code := command.ProcessState.ExitCode(); code != want {
			r.Errorf("tansyseamctl %v ended with %d, wanted %d: %s", words, code, want, out)
		}
		return string(out)
	}
	index := r.Controls[0].HTTPAddress
	expected := map[string]string{
		"nodes": "proxy1", "vitals": "control1", "instances": r.database() + "-a", "windows": "threshold", "bindings": "in force", "changes": "at",
		"epochs": "control2", "duties": "failover/" + r.database(), "leases": "proxy1", "writers": "open", "why": "sequence 1 taken", "counters": "announcements", "help": "epochs",
	}
	for query, part := range expected {
		if out := strings.ToLower(ask(0, "--at", index, query)); !strings.Contains(out, part) {
			r.Errorf("tansyseamctl %s does not show %q: %s", query, part, out)
		}
	}
	if out := ask(0, "--at", index, "--json", "why", r.database()); !json.Valid([]byte(out)) {
		r.Errorf("tansyseamctl --json gives no JSON: %s", out)
	}
	ask(0, "--at", index, "counters", "proxy1")
	for _, words := range [][]string{{"--at", index, "whatever"}, {"--at", index, "nodes", "too", "many"}, {"--at", index, "counters", "nobody"}, {"--at", index, "why", "nothing"}, {"nodes"}} {
		ask(2, words...)
	}
	ask(1, "--at", "127.1.9.9:9", "nodes")
	command := exec.Command(r.Programs.CurrentPath("tansyseamctl"), "--at", index)
	command.Stdin = strings.NewReader("epochs\nnonsense\nnodes\nquit\n")
	out, _ := command.CombinedOutput()
	for _, part := range []string{"tansyseamctl>", "no query \"nonsense\"", "proxy1"} {
		if !strings.Contains(string(out), part) {
			r.Errorf("the prompt does not show %q: %s", part, out)
		}
	}
}
