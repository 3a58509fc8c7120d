#!/bin/sh
# Builds the stand-ins of the scripts, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
GOWORK=off go build -o target/review/storm review/3/storm.go || exit 1
GOWORK=off go build -o target/review/founding review/4/founding.go
