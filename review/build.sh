#!/bin/sh
# Builds what the cases start beside the daemons. All stand-ins are Python and run from the build
# of the deploy file and from review/, so this checks that they can be imported.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/corianderhaven ] || sh deploy/build.sh
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/common python3 -c \
  "import harness, corianderhaven.standins"
