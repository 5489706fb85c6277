package bootstrap

import (
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/lesismal/nbio/logging"

	"tansyseam/internal/app/config"
)

// newLogger makes the program's log, which is written to standard error.
func newLogger(program config.Program, cfg config.Config) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: string(program), Level: hclog.LevelFromString(cfg.LogLevel), JSONFormat: cfg.LogJSON, Output: os.Stderr,
	})
}

// DisableEngineLog drops the log lines of the network engine: they report its
// own starts and stops, no change of state.
func DisableEngineLog() { logging.SetLogger(silentLogger{}) }

type silentLogger struct{}

func (silentLogger) SetLevel(int) {}

func (silentLogger) Debug(string, ...any) {}

func (silentLogger) Info(string, ...any) {}

func (silentLogger) Warn(string, ...any) {}

func (silentLogger) Error(string, ...any) {}
