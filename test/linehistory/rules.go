package linehistory

import "fmt"

// Names of the rules, as the users' platform gives them.
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

// Rules gives the check of each rule, which describes every violation in a
// history.
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

// Violations checks all rules, and gives the violations by the name of the
// rule. Rules that hold have no entry.
func Violations(h History) map[string][]string {
	byRule := map[string][]string{}
	for name, check := range Rules() {
		if found := check(h); len(found) > 0 {
			byRule[name] = found
		}
	}
	return byRule
}

// violations gathers the descriptions of one rule's violations.
type violations []string

func (v *violations) add(format string, parts ...any) { *v = append(*v, fmt.Sprintf(format, parts...)) }
