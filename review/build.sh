#!/usr/bin/env bash
# The stand-ins of the cases are Python scripts of the standard library only: nothing has to be compiled. Checks that
# this machine can run them and that the controllers' program is there.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py [0-9]/*.py <<'PY'
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
test -x ../target/martenwall || echo "target/martenwall is not built yet: build the deploy file first" >&2
