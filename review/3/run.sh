#!/usr/bin/env bash
# Runs the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out. The programs must have been built into target/ with
# the build line of deploy/system.toml, and the stand-ins with review/build.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standins ] || { echo "run review/build.sh first"; exit 2; }
exec ../bin/standins -case stop -root ../.. -record record.txt
