// Package linehistory checks the recorded history of line sessions against
// the rules of the users' platform, after the fact: the queries as clients
// saw them, the statements as instances executed them, the configurations
// that operators sent, and the logs as they stand at the end.
//
// The package shares no code with the product, so that an error in the
// product's own reasoning cannot hide here as well.
//
// Times are those since the beginning of the run.
package linehistory
