// Package linehistory checks the recorded history of line protocol sessions in a
// finished run against the rules of the users' platform. The history consists
// of the queries with the answers that clients received, the statements that
// instances executed, the configurations that operators sent, and the
// instances' logs at the end of the run.
//
// The package shares no code with the product, so that an error in the
// product's logic is not repeated in the checks.
//
// Times are measured from the beginning of the run.
package linehistory
