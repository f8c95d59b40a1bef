#!/bin/sh
# Builds the stand-in program that all cases use. It needs only Go's standard library.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root/review/standin"
GOWORK=off go build -o "$root/target/review-standin" .
