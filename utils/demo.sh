#!/usr/bin/env bash
# Installs the dependencies, builds, starts the deployment Sicilia-sud or the one
# named in the argument with stand-in servers, sends requests of each class,
# checks and prints the answers, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
utils/install.sh
utils/build.sh
exec /usr/bin/python3 integration/demo.py "$@"
