#!/bin/sh
# Builds the stand-ins that the scripts of the third review start: the project's
# own, of which they use the store, and those in harness_3. Needs the build of the
# deploy file and no network.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD"
export PYTHONPATH
python3 -m compileall -q target/deps/quetzalgauge/platform \
  target/deps/quetzalgauge/standins review/harness_3 review/11 review/12
python3 -c "import importlib
for name in ('quetzalgauge.platform.standin', 'review.harness_3.engine',
             'review.11.case', 'review.12.case'):
    importlib.import_module(name)"
