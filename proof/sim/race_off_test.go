//go:build !race

package sim

const isRace = false
