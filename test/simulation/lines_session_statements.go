package simulation

import (
	"fmt"
	"strings"

	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/state/lineproto"
	"tansyseam/internal/state/model"
)

// Texts of statements. The texts of reads and writes begin with a prefix.
const (
	commitText  = "commit"
	readPrefix  = "read"
	writePrefix = "write"
)

func isReadText(text string) bool  { return strings.HasPrefix(text, readPrefix) }
func isWriteText(text string) bool { return strings.HasPrefix(text, writePrefix) }

// runStatement runs a client's statement.
func (s *serverSession) runStatement(command linepool.Command) {
	if s.closed {
		return
	}
	text := command.Text
	if command.Kind == linepool.CommandExecute {
		prepared, found := s.state.prepared[command.Name]
		if !found {
			s.fail(lineproto.CodeNotFound, "NOTFOUND")
			return
		}
		text = prepared + command.Value
	}
	if s.refusesForRole(text) {
		return
	}
	instance := s.instance
	if s.transaction == nil && instance.position().IsBefore(command.MinPosition) {
		s.fail(lineproto.CodeLagging, "LAGGING")
		return
	}
	sent := instance.fleet.checkStatement(s, command.ID, text)
	if sent == nil {
		s.fail(lineproto.CodeOther, "OTHER")
		return
	}
	instance.statementCount++
	stamp := fmt.Sprintf("%s.%s.%d", command.ID, instance.name, instance.statementCount)
	instance.fleet.checker.stampOwners[stamp] = command.ID
	s.execute(sent, text, stamp)
}

// execute runs a statement that was accepted.
func (s *serverSession) execute(sent *query, text, stamp string) {
	if text == commitText {
		s.commit(sent, stamp)
		return
	}
	if isWriteText(text) && s.transaction == nil {
		s.appendCommit(sent, []string{sent.id}, stamp)
		return
	}
	if isWriteText(text) {
		s.transaction.writeIDs = append(s.transaction.writeIDs, sent.id)
	}
	s.finish(lineproto.Message{Kind: lineproto.KindRow, Payload: rowPayload(stamp)}, doneMessage(stamp))
}

// refusesForRole reports whether it has refused a statement. It refuses writes at
// an instance that is not primary, writes in a read-only transaction, and all
// statements of a transaction whose instance has lost the primary role. It never
// refuses a commit without writes.
func (s *serverSession) refusesForRole(text string) bool {
	primary := s.instance.role == model.RolePrimary
	transaction := s.transaction
	lostRole := transaction != nil && !transaction.readOnly && (!primary || s.instance.term != transaction.term)
	misplacedWrite := isWriteText(text) && (!primary || (transaction != nil && transaction.readOnly))
	commit := text == commitText
	if !lostRole && !misplacedWrite {
		return false
	}
	if commit && len(transaction.writeIDs) == 0 {
		return false
	}
	if commit {
		s.undoTransaction()
	} else if transaction != nil {
		transaction.failed = true
	}
	s.finish(s.readOnlyMessage())
	return true
}

func (s *serverSession) commit(sent *query, stamp string) {
	writeIDs := s.transaction.writeIDs
	s.transaction, s.stateBefore = nil, nil
	if len(writeIDs) == 0 {
		s.finish(doneMessage(stamp))
		return
	}
	s.appendCommit(sent, writeIDs, stamp)
}

// appendCommit commits writes, and answers once a replica has received them.
func (s *serverSession) appendCommit(sent *query, writeIDs []string, stamp string) {
	instance := s.instance
	s.committing = true
	sent.byOldPrimary = instance.fleet.newestTerms[instance.database] > instance.term
	sent.database = instance.database
	sent.position = instance.append(writeIDs, func() {
		if !s.closed {
			s.finish(doneMessage(stamp))
		}
	})
}
