package bootstrap

import (
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/lesismal/nbio/logging"

	"tansyseam/internal/app/config"
)

// newLogger returns the program's logger, which writes to standard error.
func newLogger(program config.Program, cfg config.Config) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: string(program), Level: hclog.LevelFromString(cfg.LogLevel), JSONFormat: cfg.LogJSON, Output: os.Stderr,
	})
}

// DisableEngineLog discards the log lines of the network engine (nbio), because
// they report only its own starts and stops and no change of a node's state.
func DisableEngineLog() { logging.SetLogger(discardLogger{}) }

type discardLogger struct{}

func (discardLogger) SetLevel(int) {}

func (discardLogger) Debug(string, ...any) {}

func (discardLogger) Info(string, ...any) {}

func (discardLogger) Warn(string, ...any) {}

func (discardLogger) Error(string, ...any) {}
