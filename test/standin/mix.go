package standin

// Role is one kind of caller, with a binding of its own for each database.
type Role struct {
	Name    string
	Binding string
	// FreshnessMS is the binding's freshness bound, in milliseconds; 0 for none.
	FreshnessMS int
	// RequestRate is requests a second over all callers of the role.
	RequestRate float64
	Sessions    int
	// WriteShare is the part of its requests that are single writes, and
	// TransactionShare the part that are transactions; the rest are reads.
	WriteShare       float64
	TransactionShare float64
	// SessionStateShare is the chance, before each request, that a session
	// without one gets a setting or a prepared statement.
	SessionStateShare float64
}

// Mix is a deployment's callers.
type Mix struct {
	Databases []string
	Zones     []string
	Roles     []Role
}

// Magnolia returns the desk-booking callers.
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

// Chile returns the portability callers.
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

// Binding is one binding of an operator's set, in the form that calls take.
type Binding struct {
	Name        string `json:"name"`
	Database    string `json:"database"`
	FreshnessMS int    `json:"freshness_ms"`
}

// Bindings returns the operator's set for a mix: each role's binding for each
// database.
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
