package history

import (
	"strings"

	"tansyseam/test/standin"
)

// SessionSetting is the name of the setting in which callers store an identifier of
// their session.
const SessionSetting = "app"

// MixedSessions finds transactions that contain statements of more than one
// caller, statements that ran with another session's settings, and answers
// that belong to another statement.
func MixedSessions(e Evidence) []string {
	var found violations
	e.checkTransactionOwners(&found)
	e.checkExecutionSettings(&found)
	for _, event := range e.Events {
		checkOwnAnswer(event, &found)
	}
	return found
}

func (e Evidence) checkTransactionOwners(found *violations) {
	owners := map[string]string{}
	for _, execution := range e.Executions {
		if execution.Transaction == "" || execution.Action == ActCommit {
			continue
		}
		caller := callerOf(execution.Text)
		if owner, ok := owners[execution.Transaction]; ok && owner != caller {
			found.add("transaction %s contains statements of %s and %s", execution.Transaction, owner, caller)
		}
		owners[execution.Transaction] = caller
	}
}

func (e Evidence) checkExecutionSettings(found *violations) {
	callerOfSession := map[string]string{}
	for _, event := range e.Events {
		if event.Kind == KindSet {
			callerOfSession[event.Session] = event.Caller
		}
	}
	for _, execution := range e.Executions {
		session, ok := execution.Settings[SessionSetting]
		caller := callerOf(execution.Text)
		if ok && execution.Action != ActCommit && callerOfSession[session] != caller {
			found.add("a statement of %s ran with the settings of %s", caller, callerOfSession[session])
		}
	}
}

func checkOwnAnswer(event standin.Event, found *violations) {
	readOutside := event.Kind == KindRead && event.Outcome == OutcomeRead
	ranInside := event.Kind == KindInside && event.Outcome == OutcomeDone
	if !readOutside && !ranInside {
		return
	}
	if event.ExecutedText != "" && event.ExecutedText != event.Text {
		found.add("%s sent %q, but %q was run", event.Caller, event.Text, event.ExecutedText)
	}
	if event.Settings[SessionSetting] != event.ExpectedSetting {
		found.add("%s read with setting %q, its own is %q", event.Caller, event.Settings[SessionSetting], event.ExpectedSetting)
	}
}

// callerOf returns the caller that is named in the text of a statement.
func callerOf(text string) string {
	_, rest, ok := strings.Cut(text, " by ")
	if !ok {
		return ""
	}
	name, _, _ := strings.Cut(rest, " ")
	return name
}

// statement identifies a statement that a caller sends and an instance runs.
type statement struct{ requestID, text string }

// UnsentStatements finds statements that ran more often than callers sent
// them, or that no caller sent.
func UnsentStatements(e Evidence) []string {
	sent := map[statement]int{}
	for _, event := range e.Events {
		if event.Text != "" {
			sent[statement{event.RequestID, event.Text}]++
		}
	}
	executed := map[statement]int{}
	for _, execution := range e.Executions {
		if execution.Action != ActCommit && execution.Action != ActPromote {
			executed[statement{execution.RequestID, execution.Text}]++
		}
	}
	var found violations
	for key, count := range executed {
		if count > sent[key] {
			found.add("%q ran %d times, sent %d times", key.requestID+" "+key.text, count, sent[key])
		}
	}
	return found
}
