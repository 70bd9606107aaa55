#!/bin/sh
# Builds the program that the scripts of the cases start. Run it after the build line of
# deploy/system.toml, which builds target/daisylbd.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-case ./review/_standins
