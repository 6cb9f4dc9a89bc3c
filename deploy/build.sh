#!/bin/sh
# Installs third-party libraries and copies this repository's sources into target/deps.
set -eu
mkdir -p target/deps
if [ ! -e target/deps/.installed ] || [ deploy/requirements.txt -nt target/deps/.installed ]; then
  python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
  touch target/deps/.installed
fi
# Copies the sources only if they changed: a stale copy would run outdated code, and a needless
# copy would remove files that a starting program is about to import.
sum=$(find libraries/*/src platform/src -name '*.py' -o -name '*.html' | sort | xargs cat | cksum)
if [ "$(cat target/deps/.sources 2>/dev/null || true)" != "$sum" ]; then
  rm -rf target/deps/corianderhaven
  for sources in libraries/*/src/corianderhaven platform/src/corianderhaven; do
    cp -R "$sources" target/deps/
  done
  find target/deps/corianderhaven -name tests -type d -prune -exec rm -rf {} +
  echo "$sum" > target/deps/.sources
fi
