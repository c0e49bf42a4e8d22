#!/bin/sh
# Builds the stand-ins that the scripts start, with the standard library only. The build of the deploy file makes the project's own program.
set -e
cd "$(dirname "$0")/.standins"
GOFLAGS= GOWORK=off go build -trimpath -o ../../target/standins .
