#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 6 start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-drill ./review/_drill
