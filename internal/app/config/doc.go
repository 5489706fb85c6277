// Package config reads the configuration of a program from its flags and a
// JSON file, and validates it. Each setting is a flag (--seed-port) and a field
// of the file (seed_port); flags take precedence. All errors in a configuration
// are reported together. Some settings can change while a program runs; Diff and
// ApplyLive support such reloads.
package config
