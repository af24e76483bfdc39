#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are Python programs of review/lib-2, which need Python 3.8 or newer and its
# standard library alone, so this only checks that they can be read. The program itself comes from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'PY'
import ast
import glob
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or newer is needed")
for path in glob.glob("review/lib-2/*.py") + glob.glob("review/*/case.py"):
    with open(path) as source:
        ast.parse(source.read(), path)
PY
