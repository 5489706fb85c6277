#!/bin/sh
# Builds the programs of the cases 4 to 8 into target/review-2/. They contain the project's
# own stand-ins for instances, clients, operator and platform (test/platformstandin).
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for directory in review/_standins-2/*/; do
	case=$(basename "$directory")
	if [ "$case" != lab ]; then
		go build -o "target/review-2/$case" "./review/_standins-2/$case"
	fi
done
