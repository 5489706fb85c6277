// Package platforme2e runs the product's programs as real processes in platform
// mode, among the stand-ins of package platformstandin. A scenario injects
// faults under load; afterwards the history is checked by package linehistory.
package platforme2e
