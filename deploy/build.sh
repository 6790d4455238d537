#!/bin/sh
# Installs the dependencies and the package, byte-compiled, into target/deps.
set -eu
deps=target/deps
mkdir -p target
if [ ! "$deps/.stamp" -nt deploy/requirements.txt ]; then
  rm -rf "$deps"
  python3 -m pip install -q --disable-pip-version-check \
    --target "$deps" -r deploy/requirements.txt
  python3 -m compileall -q "$deps"
  touch "$deps/.stamp"
fi
rm -rf "$deps/quetzalgauge"
cp -R src/quetzalgauge "$deps/quetzalgauge"
find "$deps/quetzalgauge" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q "$deps/quetzalgauge"
