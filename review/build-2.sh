#!/usr/bin/env bash
# Checks the stand-ins of the cases 4 to 8. They are Python programs with nothing but the standard library, so there is
# nothing to compile; the controllers come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast
import glob

for name in sorted(glob.glob("review/world-2/*.py") + glob.glob("review/[4-8]/case.py")):
    with open(name, encoding="utf-8") as f:
        ast.parse(f.read(), name)
    print("ok", name)
PY
test -x target/martenwall || { echo "build the deploy file first (deploy/service.toml)" >&2; exit 2; }
