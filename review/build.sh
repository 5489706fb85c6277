#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../bin
go build -o ../bin/standins .
