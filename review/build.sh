#!/bin/sh
# Builds the stand-ins that the cases start. It needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/standin
