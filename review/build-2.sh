#!/usr/bin/env bash
# Prepares what the scripts of the second review start beside the product. All
# stand-ins are Python modules in review/lib-2 and the case folders, so nothing is
# compiled; they are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), "needs Python 3.11"'
for source in review/lib-2/*.py review/[6-9]/*.py review/10/*.py; do
  if [ -e "$source" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
  fi
done
