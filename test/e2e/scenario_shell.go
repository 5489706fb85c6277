package e2e

import (
	"encoding/json"
	"os/exec"
	"strings"
)

// Exit codes of the shell (tansyseamctl).
const (
	shellSuccess     = 0
	shellUnreachable = 1
	shellMisuse      = 2
)

// checkShell runs each query of the shell, invokes the shell with invalid arguments and
// an unreachable address, and uses its interactive prompt.
func (r *Run) checkShell() {
	address := r.Controls[0].HTTPAddress
	expected := map[string]string{
		"nodes": "proxy1", "vitals": "control1", "instances": r.database() + "-a", "windows": "threshold", "bindings": "in force", "changes": "at",
		"epochs": "control2", "duties": "failover/" + r.database(), "leases": "proxy1", "writers": "open", "counters": "announcements", "help": "epochs",
	}
	for query, text := range expected {
		if output := strings.ToLower(r.shell(shellSuccess, "--at", address, query)); !strings.Contains(output, text) {
			r.Errorf("tansyseamctl %s does not show %q: %s", query, text, output)
		}
	}
	r.checkAuditQuery(address)
	if output := r.shell(shellSuccess, "--at", address, "--json", "why", r.database()); !json.Valid([]byte(output)) {
		r.Errorf("tansyseamctl --json did not print valid JSON: %s", output)
	}
	r.shell(shellSuccess, "--at", address, "counters", "proxy1")
	for _, arguments := range [][]string{
		{"--at", address, "whatever"}, {"--at", address, "nodes", "too", "many"},
		{"--at", address, "counters", "nobody"}, {"--at", address, "why", "nothing"}, {"nodes"},
	} {
		r.shell(shellMisuse, arguments...)
	}
	r.shell(shellUnreachable, "--at", "127.1.9.9:9", "nodes")
	r.checkPrompt(address)
}

// Texts of the audit log entry for the first binding set. Earlier builds write
// earlierFirstSetText.
const (
	firstSetText        = "sequence 1 accepted"
	earlierFirstSetText = "sequence 1 taken"
)

// checkAuditQuery runs the query of the audit log. In a fleet of two builds, the control
// primary that wrote the entry may run the earlier build.
func (r *Run) checkAuditQuery(address string) {
	output := strings.ToLower(r.shell(shellSuccess, "--at", address, "why"))
	if strings.Contains(output, firstSetText) {
		return
	}
	if r.Programs.OtherBuild != "" && strings.Contains(output, earlierFirstSetText) {
		return
	}
	r.Errorf("tansyseamctl why does not show %q: %s", firstSetText, output)
}

// shell runs the shell, checks its exit code and returns its output.
func (r *Run) shell(want int, arguments ...string) string {
	command := exec.Command(r.Programs.CurrentPath("tansyseamctl"), arguments...)
	output, _ := command.CombinedOutput()
	if code := command.ProcessState.ExitCode(); code != want {
		r.Errorf("tansyseamctl %v exited with code %d, want %d: %s", arguments, code, want, output)
	}
	return string(output)
}

func (r *Run) checkPrompt(address string) {
	command := exec.Command(r.Programs.CurrentPath("tansyseamctl"), "--at", address)
	command.Stdin = strings.NewReader("epochs\nnonsense\nnodes\nquit\n")
	output, _ := command.CombinedOutput()
	for _, text := range []string{"tansyseamctl>", "no query \"nonsense\"", "proxy1"} {
		if !strings.Contains(string(output), text) {
			r.Errorf("the prompt does not show %q: %s", text, output)
		}
	}
}
