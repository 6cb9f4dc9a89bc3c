#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the daemon: the project's stand-ins,
# copied from their sources, and the shared code. Needs no network, and nothing but Python and what
# the build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
mkdir -p target/review-2/corianderhaven
cp -R libraries/standins/src/corianderhaven/standins target/review-2/corianderhaven/
cp review/common-2/*.py target/review-2/
python3 -m compileall -q target/review-2
PYTHONPATH=target/review-2:target/deps python3 -c "import corianderhaven.common, corianderhaven.standins"
