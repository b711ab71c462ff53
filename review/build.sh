#!/bin/sh
# The stand-ins of the scripts are Python programs that use the standard library
# alone, as scripts/run_tests.py does: there is nothing to compile. Fails if one
# of them can't be read by this machine's Python.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
