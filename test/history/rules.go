package history

import "fmt"

// Rule is something that must never happen.
type Rule struct {
	Name string
	// Check describes each violation in a history.
	Check func(Evidence) []string
}

// Rules lists all rules.
func Rules() []Rule {
	return []Rule{
		{"effect once per go", DuplicateEffects},
		{"told not kept, yet kept", RefusedButKept},
		{"confirmed commit lost", LostCommits},
		{"read misses a confirmed commit", StaleReads},
		{"statement in another's transaction or settings", MixedSessions},
		{"statement that no caller sent, or with its text changed", UnsentStatements},
		{"old primary confirms after a promotion", OldPrimaryCommits},
		{"binding change ignored or undone", IgnoredChanges},
		{"broken set taken, or a taken one lost", InconsistentSets},
		{"work reaches a leaving instance", WorkAfterLeaving},
		{"planned restart cuts a request off", CutRequests},
		{"service stays down after a closing fault", FailedRecoveries},
		{"a calm fleet refuses, or does not know", QuietRefusals},
	}
}

// Violations checks all rules, and gives the violations by the name of the
// rule. Rules that hold have no entry.
func Violations(evidence Evidence) map[string][]string {
	byRule := map[string][]string{}
	for _, rule := range Rules() {
		if found := rule.Check(evidence); len(found) > 0 {
			byRule[rule.Name] = found
		}
	}
	return byRule
}

// violations gathers the descriptions of one rule's violations.
type violations []string

func (v *violations) add(format string, parts ...any) {
	*v = append(*v, fmt.Sprintf(format, parts...))
}
