#!/usr/bin/env bash
# Runs all checks: formatter, vet, linter, build, tests under the race detector,
# the fixed simulation seeds and the HTTP server tests without it, and bounded runs
# of fleets of real processes in the product's own mode and in the platform's mode.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -s -l cmd internal platform test)
if [ -n "$unformatted" ]; then
  printf 'not formatted:\n%s\n' "$unformatted"
  exit 1
fi
go mod tidy -diff
go vet ./...
go build ./...
go tool -modfile=lint/go.mod staticcheck ./...
# The tests listed in KNOWN-RED.txt fail because of known faults that are not fixed
# yet. They are skipped here, then run separately. Their results are printed, but do
# not affect the exit status.
red=
if [ -s KNOWN-RED.txt ]; then
  red=$(sed -n 's/^\(Test[A-Za-z0-9]*\):.*/\1/p' KNOWN-RED.txt | paste -sd '|' -)
fi
go test -race -count=1 -timeout 10m -skip "^(${red:-none})\$" ./...
go test -count=1 -timeout 10m -skip "^(${red:-none})\$" ./test/simulation ./internal/transport/httpserver
if [ -n "$red" ]; then
  printf 'tests with known failures (KNOWN-RED.txt):\n%s\n' "$(cat KNOWN-RED.txt)"
  found=$(go test -count=1 -timeout 5m -run "^($red)\$" -v ./... 2>&1 || true)
  grep -E '^--- (FAIL|PASS): ' <<<"$found" || true
fi
go run ./test/cmd/e2e -race -shape small -run calls,change,restart,primary-crash,primary-dark,control-kill,lose,settings,repeat,planted-kill,planted-unclean
go run ./test/cmd/e2e -race -manner platform -run primary-crash,replace,stop,stop-busy,control-kill,control-replace,change,lose,line-ends,repeat,repeat-lines,repeat-crash
