package lineproto

// Action is the operation that the text of a query requests.
type Action int

// Actions of a Statement.
const (
	// ActionInvalid is the action of a text that is not a statement.
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
	// ActionPrepare prepares a statement under a name, ActionExecute runs the
	// prepared statement, and ActionDeallocate removes it.
	ActionPrepare
	ActionExecute
	ActionDeallocate
)

// Statement is the parsed text of a query. The action determines which fields are
// set.
type Statement struct {
	Action Action
	// Name is the name of a variable or of a prepared statement.
	Name string
	// Value is the value of a variable.
	Value string
	// PreparedText is the text of the statement to prepare. Write is true if that
	// statement writes.
	PreparedText string
	Write        bool
	// Arguments is the text of the arguments of an execute statement, including
	// the space before it.
	Arguments string
}
