package lineproto

// Action is what the text of a query asks for.
type Action int

// Actions of a Statement.
const (
	// ActionInvalid is a text that is no statement.
	ActionInvalid Action = iota
	ActionBegin
	ActionBeginReadOnly
	ActionCommit
	ActionRollback
	// ActionRead and ActionWrite run the text.
	ActionRead
	ActionWrite
	// ActionSet sets a variable of the session.
	ActionSet
	// ActionPrepare, ActionExecute and ActionDeallocate prepare a statement
	// under a name, run it, and forget it.
	ActionPrepare
	ActionExecute
	ActionDeallocate
)

// Statement is what the text of a query asks for. Which fields are set depends
// on its action.
type Statement struct {
	Action Action
	// Name is that of a variable or of a prepared statement.
	Name string
	// Value is that of a variable.
	Value string
	// PreparedText is the statement to prepare, Write whether it writes.
	PreparedText string
	Write        bool
	// Arguments are those of an execute, with the blank before them.
	Arguments string
}
