// Package bootstrap runs a daemon from its arguments to its exit code: it reads
// the configuration, sets up logging, starts the node and the daemon on it,
// reloads the configuration when it changes, and shuts down on a signal.
package bootstrap
