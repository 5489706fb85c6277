package e2e

import "tansyseam/test/standin"

// Shape describes the size and the load of a deployment.
type Shape struct {
	Name                 string
	Proxies              int
	Controls             int
	Databases            []string
	InstancesPerDatabase int
	// Connections and Slots are the limits of one instance.
	Connections int
	Slots       int
	// ServiceTimeUS is how long a write takes at an instance, in microseconds.
	ServiceTimeUS int
	Zones         []string
	Mix           standin.Mix
}

// Magnolia returns the shape of the desk-booking deployment.
func Magnolia() Shape {
	mix := standin.Magnolia()
	return Shape{
		Name: "magnolia", Proxies: 8, Controls: 3, Databases: mix.Databases, InstancesPerDatabase: 3, Connections: 110, Slots: 10,
		ServiceTimeUS: 6000, Zones: mix.Zones, Mix: mix,
	}
}

// Chile returns the shape of the portability deployment.
func Chile() Shape {
	mix := standin.Chile()
	return Shape{
		Name: "chile", Proxies: 6, Controls: 5, Databases: mix.Databases, InstancesPerDatabase: 3, Connections: 80, Slots: 7,
		ServiceTimeUS: 5000, Zones: mix.Zones, Mix: mix,
	}
}

// Small returns a shape for short runs: Magnolia with fewer proxies and one database.
func Small() Shape {
	shape := Magnolia()
	shape.Name, shape.Proxies, shape.Databases = "small", 3, shape.Databases[:1]
	shape.Mix.Databases = shape.Databases
	return shape
}

// Shapes returns all shapes by name.
func Shapes() map[string]Shape {
	return map[string]Shape{"magnolia": Magnolia(), "chile": Chile(), "small": Small()}
}
