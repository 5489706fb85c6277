// Package history checks the recorded history of a finished run against the
// safety and liveness rules of the fleet. The history comes from the simulator
// (test/simulation) or from real processes (test/e2e). It consists of the
// requests with the answers that callers received, the statements that
// instances ran, and the instances' logs at the end of the run.
//
// The package shares no code with the product, so that an error in the
// product's logic is not repeated in the checks.
//
// Times are in nanoseconds on one clock for the whole run.
package history
