// Package history checks the recorded history of a run against the safety and
// liveness rules of the fleet, after the fact. The history comes from the
// simulator (test/simulation) or from real processes (test/e2e): the requests
// as callers saw them, the statements as instances ran them, and the logs as
// they stand at the end.
//
// The package shares no code with the product, so that an error in the
// product's own reasoning cannot hide here as well.
//
// Times are in nanoseconds on one clock for the whole run.
package history
