#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start, into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/cases2 ./review/_standins2
