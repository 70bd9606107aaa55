#!/bin/sh
# Builds every stand-in that the scripts of review/11 to review/15 start.
set -e
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/_standins3
