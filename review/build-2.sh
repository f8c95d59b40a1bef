#!/bin/sh
# Builds the stand-ins of the second review. It needs Go only, and no network.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOFLAGS=-buildvcs=false GOTOOLCHAIN=local GOWORK=off go build -o ../../target/review-standin-2 .
