#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -eu
cd "$(dirname "$0")"
go build -o bin/standin2 ./standin2
