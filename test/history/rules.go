package history

import "fmt"

// Names of the rules.
const (
	RuleDuplicateEffects  = "effect once per go"
	RuleRefusedButKept    = "told not kept, yet kept"
	RuleLostCommits       = "confirmed commit lost"
	RuleStaleReads        = "read misses a confirmed commit"
	RuleMixedSessions     = "statement in another's transaction or settings"
	RuleUnsentStatements  = "statement that no caller sent, or with its text changed"
	RuleOldPrimaryCommits = "old primary confirms after a promotion"
	RuleIgnoredChanges    = "binding change ignored or undone"
	RuleInconsistentSets  = "broken set taken, or a taken one lost"
	RuleWorkAfterLeaving  = "work reaches a leaving instance"
	RuleCutRequests       = "planned restart cuts a request off"
	RuleFailedRecoveries  = "service stays down after a closing fault"
	RuleQuietRefusals     = "a calm fleet refuses, or does not know"
)

// Rule describes a condition that must never occur.
type Rule struct {
	Name string
	// Check returns a description of each violation in a history.
	Check func(Evidence) []string
}

// Rules returns all rules.
func Rules() []Rule {
	return []Rule{
		{RuleDuplicateEffects, DuplicateEffects},
		{RuleRefusedButKept, RefusedButKept},
		{RuleLostCommits, LostCommits},
		{RuleStaleReads, StaleReads},
		{RuleMixedSessions, MixedSessions},
		{RuleUnsentStatements, UnsentStatements},
		{RuleOldPrimaryCommits, OldPrimaryCommits},
		{RuleIgnoredChanges, IgnoredChanges},
		{RuleInconsistentSets, InconsistentSets},
		{RuleWorkAfterLeaving, WorkAfterLeaving},
		{RuleCutRequests, CutRequests},
		{RuleFailedRecoveries, FailedRecoveries},
		{RuleQuietRefusals, QuietRefusals},
	}
}

// Violations checks all rules and returns the violations by rule name. Rules
// that hold have no entry.
func Violations(evidence Evidence) map[string][]string {
	byRule := map[string][]string{}
	for _, rule := range Rules() {
		if found := rule.Check(evidence); len(found) > 0 {
			byRule[rule.Name] = found
		}
	}
	return byRule
}

// violations collects the descriptions of one rule's violations.
type violations []string

func (v *violations) add(format string, parts ...any) {
	*v = append(*v, fmt.Sprintf(format, parts...))
}
