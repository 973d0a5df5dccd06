#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin3"
mkdir -p ../../target/review3
go build -o ../../target/review3/case .
