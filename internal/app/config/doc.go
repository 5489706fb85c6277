// Package config reads the configuration of a program from its flags and a
// JSON file, and checks it. Each setting is a flag (--seed-port) and a field of
// the file (seed_port); flags take precedence. All reasons against a
// configuration are given at once. Some settings may change while a program
// runs: Diff and ApplyLive are for reloads.
package config
