package linehistory

import "fmt"

// Names of the rules, as the users' platform defines them.
const (
	RuleUnrequested        = "UNASKED"
	RuleMixedAnswers       = "MIXED"
	RuleWrongSession       = "PINNED"
	RuleDuplicateWrites    = "TWICE"
	RuleRefusedButKept     = "REFUSED"
	RuleStaleReads         = "STALE"
	RuleOldPrimaryCommits  = "ONE"
	RuleLostCommits        = "LOST"
	RuleWorkAfterLeaving   = "DRAIN"
	RuleWrongConfiguration = "CONFIG"
	RuleFailedRecoveries   = "RECOVER"
)

// Rules returns the check of each rule by name. A check returns a description of
// each violation in a history.
func Rules() map[string]func(History) []string {
	return map[string]func(History) []string{
		RuleUnrequested:        Unrequested,
		RuleMixedAnswers:       MixedAnswers,
		RuleWrongSession:       WrongSession,
		RuleDuplicateWrites:    DuplicateWrites,
		RuleRefusedButKept:     RefusedButKept,
		RuleStaleReads:         StaleReads,
		RuleOldPrimaryCommits:  OldPrimaryCommits,
		RuleLostCommits:        LostCommits,
		RuleWorkAfterLeaving:   WorkAfterLeaving,
		RuleWrongConfiguration: WrongConfiguration,
		RuleFailedRecoveries:   FailedRecoveries,
	}
}

// Violations checks all rules and returns the violations by rule name. Rules
// that hold have no entry.
func Violations(h History) map[string][]string {
	byRule := map[string][]string{}
	for name, check := range Rules() {
		if found := check(h); len(found) > 0 {
			byRule[name] = found
		}
	}
	return byRule
}

// violations collects the descriptions of one rule's violations.
type violations []string

func (v *violations) add(format string, parts ...any) { *v = append(*v, fmt.Sprintf(format, parts...)) }
