#!/bin/sh
# Puts libraries and this repository's own sources into target/deps.
set -eu
mkdir -p target/deps
if [ ! -e target/deps/.installed ] || [ deploy/requirements.txt -nt target/deps/.installed ]; then
  python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
  touch target/deps/.installed
fi
rm -rf target/deps/corianderhaven
for sources in libraries/*/src/corianderhaven platform/src/corianderhaven; do
  cp -R "$sources" target/deps/
done
find target/deps/corianderhaven -name tests -type d -prune -exec rm -rf {} +
