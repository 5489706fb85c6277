// Package platformstandin simulates the environment of a fleet in platform mode:
// services of database instances that speak the line protocol, the platform that
// promotes the instances and probes the nodes, an operator who replaces
// configurations, and clients. All of them record events in one history, which
// package linehistory checks.
package platformstandin
