#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the project's instance.
# Their stand-ins are Python with the standard library only: they are compiled
# here, so that a fault in them shows before a case runs.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - <<'PYTHON'
import ast
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("python 3.9 or later is needed")
for name in ["lab2.py"] + sorted(
        glob.glob("[6-9]/case.py") + glob.glob("10/case.py")):
    with open(name) as file:
        ast.parse(file.read(), name)
    print("checked", name)
PYTHON
