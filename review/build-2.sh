#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. They are Python programs without dependencies: checked, nothing compiled.
set -euo pipefail
cd "$(dirname "$0")/tools-2"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or newer is needed" >&2; exit 2; }
for tool in *.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$tool"
done
