// Package platformstandin plays what surrounds a fleet in platform mode:
// services of database instances that speak the line protocol, the platform
// that promotes them and probes the nodes, an operator who replaces
// configurations, and clients. All of them write one history, which package
// linehistory checks.
package platformstandin
