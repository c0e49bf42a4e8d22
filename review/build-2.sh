#!/bin/sh
# Builds every stand-in that the scripts in review/4 to review/8 start, with the standard library only. The build of the deploy file
# makes the project's own program.
set -e
cd "$(dirname "$0")"
mkdir -p ../target
for number in 2 3; do
	(cd ".standins-$number" && GOFLAGS= GOWORK=off go build -trimpath -o "../../target/standins-$number" .)
done
