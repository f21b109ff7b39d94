#!/usr/bin/env bash
# The stand-ins of the second review are scripts for python3 with its standard library; there is
# nothing to compile. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-2/*.py [0-9]*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
