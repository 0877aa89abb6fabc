#!/usr/bin/env bash
# Builds the stand-ins of the third review: checks that their modules and the packages
# of the deploy file's build load, and that the cases, which hold some, can be compiled.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c "import msgpack, httptools, review.standins_3.mesh"
for script in review/1[1-4]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
