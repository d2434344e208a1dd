#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. It runs after the build of the deploy file and
# needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/standin2 ./review/standin2
