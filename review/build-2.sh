#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/6 to review/10 start. These are lib-2/fleet.py and lib-2/engine.py,
# which need no build: they use python3 (scripts/install_packages.sh) and its standard library only.
cd "$(dirname "$0")" || exit 1
python3 - lib-2/*.py [6-9]/case.py 10/case.py <<'PY'
import ast, os, sys
for path in sys.argv[1:]:
    if os.path.exists(path):
        ast.parse(open(path).read(), path)
PY
