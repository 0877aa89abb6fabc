#!/usr/bin/env bash
# Builds the stand-ins of the third review: checks that their modules and the packages
# of the deploy file's build load.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c "import msgpack, httptools, review.standins_3.mesh"
