#!/bin/sh
# The stand-ins of the cases are Python programs of review/lib and need no
# compiler: checks that the interpreter can run them.
cd "$(dirname "$0")" || exit 2
exec python3 -B -c '
import sys
if sys.version_info < (3, 9):
    sys.exit("the cases need Python 3.9 or later")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
' lib/lab.py */case.py
