#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python files that need only the
# packages of the deploy file's build, so that this checks that all can be imported.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPATH=../target/deps python3 -B - <<'CHECK'
import sys
from pathlib import Path

sys.path.insert(0, "standins2")
import mesh

for path in sorted(Path().glob("*/case.py")):
    if path.parent.name in {"6", "7", "8", "9", "10"}:
        compile(path.read_text(), str(path), "exec")
print(f"stand-ins ready, msgpack {mesh.msgpack.version}")
CHECK
