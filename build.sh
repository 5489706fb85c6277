#!/usr/bin/env bash
# Builds the programs into bin/ with the version that git describe reports.
set -euo pipefail
cd "$(dirname "$0")"
version=$(git describe --always --dirty 2>/dev/null || echo dev)
mkdir -p bin
go build -ldflags "-X tansyseam/internal/app/config.Version=$version" -o bin/ ./cmd/...
go build -o bin/ ./test/cmd/standin ./test/cmd/e2e ./test/cmd/simulate
echo "built $version into bin/"
