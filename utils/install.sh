#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the scripts need.
set -euo pipefail
packages=(
  ccache clang-format clang-tidy cmake g++ gnuplot-nox libabsl-dev
  libboost-dev libfmt-dev libglib2.0-dev libgrpc++-dev libgtest-dev
  libprotobuf-dev librapidcheck-dev libsoup-3.0-dev ninja-build
  nlohmann-json3-dev pkg-config protobuf-compiler
  protobuf-compiler-grpc python3
)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
  exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
