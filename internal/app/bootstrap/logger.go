package bootstrap

import "github.com/lesismal/nbio/logging"

// DisableEngineLog drops the log lines of the network engine: they report its
// own starts and stops, no change of state.
func DisableEngineLog() { logging.SetLogger(silentLogger{}) }

type silentLogger struct{}

func (silentLogger) SetLevel(int) {}

func (silentLogger) Debug(string, ...any) {}

func (silentLogger) Info(string, ...any) {}

func (silentLogger) Warn(string, ...any) {}

func (silentLogger) Error(string, ...any) {}
