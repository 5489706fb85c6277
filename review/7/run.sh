#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/late ] || [ ! -x target/tansyseam-proxy ] || [ ! -x target/tansyseam-control ]; then
	echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
exec target/review-2/late "review/7/record.txt"
