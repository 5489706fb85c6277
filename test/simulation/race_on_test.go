//go:build race

package simulation

const isRace = true
