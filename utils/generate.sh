#!/usr/bin/env bash
# Regenerates generated/ from proto/. Run it after changing a .proto file and
# commit the result, so that the build needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
plugin=$(command -v grpc_cpp_plugin)
protoc -I proto --cpp_out=generated --grpc_out=generated \
  --plugin=protoc-gen-grpc="$plugin" proto/*.proto
