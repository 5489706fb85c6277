package e2e

import "tansyseam/test/standin"

// Shape is the size of a deployment.
type Shape struct {
	Name                 string
	Proxies              int
	Controls             int
	Databases            []string
	InstancesPerDatabase int
	// Connections and Slots are the caps of one instance.
	Connections int
	Slots       int
	// ServiceTimeUS is the time of a write, in microseconds.
	ServiceTimeUS int
	Zones         []string
	Mix           standin.Mix
}

// Magnolia returns the desk-booking deployment.
func Magnolia() Shape {
	mix := standin.Magnolia()
	return Shape{
		Name: "magnolia", Proxies: 8, Controls: 3, Databases: mix.Databases, InstancesPerDatabase: 3, Connections: 110, Slots: 10,
		ServiceTimeUS: 6000, Zones: mix.Zones, Mix: mix,
	}
}

// Chile returns the portability deployment.
func Chile() Shape {
	mix := standin.Chile()
	return Shape{
		Name: "chile", Proxies: 6, Controls: 5, Databases: mix.Databases, InstancesPerDatabase: 3, Connections: 80, Slots: 7,
		ServiceTimeUS: 5000, Zones: mix.Zones, Mix: mix,
	}
}

// Small returns a fleet for short runs: fewer of everything.
func Small() Shape {
	shape := Magnolia()
	shape.Name, shape.Proxies, shape.Databases = "small", 3, shape.Databases[:1]
	shape.Mix.Databases = shape.Databases
	return shape
}

// Shapes returns the shapes by name.
func Shapes() map[string]Shape {
	return map[string]Shape{"magnolia": Magnolia(), "chile": Chile(), "small": Small()}
}
