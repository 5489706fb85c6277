package standin

// Role is one kind of caller. It has its own binding for each database.
type Role struct {
	Name string
	// Binding is the prefix of the names of the role's bindings.
	Binding string
	// FreshnessMS is the binding's freshness bound, in milliseconds, or 0 if it
	// has none.
	FreshnessMS int
	// RequestRate is the number of requests per second of all callers of the
	// role together.
	RequestRate float64
	// Sessions is the number of callers of the role. Each has one session.
	Sessions int
	// WriteShare is the share of operations that are single writes, and
	// TransactionShare the share that are transactions. The rest are reads.
	WriteShare       float64
	TransactionShare float64
	// SessionStateShare is the probability, before each operation, that a
	// session without a setting gets one, and likewise for a prepared statement.
	SessionStateShare float64
}

// Mix describes the callers of a deployment.
type Mix struct {
	Databases []string
	Zones     []string
	Roles     []Role
}

// Magnolia returns the mix of the desk-booking deployment.
func Magnolia() Mix {
	return Mix{
		Databases: []string{"desks1", "desks2", "desks3"}, Zones: []string{"za", "zb", "zc"},
		Roles: []Role{
			{Name: "office", Binding: "booking", RequestRate: 250, Sessions: 150, WriteShare: 0.85, TransactionShare: 0.1},
			{Name: "floor", Binding: "floor", FreshnessMS: 1500, RequestRate: 110, Sessions: 80},
			{Name: "kiosk", Binding: "kiosk", FreshnessMS: 2500, RequestRate: 90, Sessions: 70, WriteShare: 0.5, TransactionShare: 0.1, SessionStateShare: 0.05},
		},
	}
}

// Chile returns the mix of the portability deployment.
func Chile() Mix {
	return Mix{
		Databases: []string{"port1", "port2", "port3"}, Zones: []string{"za", "zb", "zc"},
		Roles: []Role{
			{Name: "carrier", Binding: "order", RequestRate: 250, Sessions: 150, WriteShare: 0.8, TransactionShare: 0.15},
			{Name: "switch", Binding: "owner", FreshnessMS: 1500, RequestRate: 110, Sessions: 80},
			{Name: "retail", Binding: "status", FreshnessMS: 2500, RequestRate: 90, Sessions: 70, WriteShare: 0.1, SessionStateShare: 0.05},
		},
	}
}

// Binding is one binding of an operator's set, in the form in which calls
// contain it.
type Binding struct {
	Name        string `json:"name"`
	Database    string `json:"database"`
	FreshnessMS int    `json:"freshness_ms"`
}

// Bindings returns the operator's set of bindings for the mix: one for each role
// and database.
func (m Mix) Bindings() []Binding {
	list := []Binding{}
	for _, role := range m.Roles {
		for _, database := range m.Databases {
			list = append(list, Binding{Name: role.bindingName(database), Database: database, FreshnessMS: role.FreshnessMS})
		}
	}
	return list
}

func (r Role) bindingName(database string) string { return r.Binding + "-" + database }
