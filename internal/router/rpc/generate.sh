#!/bin/sh
# Regenerates the Go code of router.proto; needs protoc, protoc-gen-go and protoc-gen-twirp.
set -eu
cd "$(dirname "$0")"
protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. router.proto
