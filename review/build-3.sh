#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, and checks
# that they can be imported with the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD"
export PYTHONPATH
python3 -m compileall -q review/harness_3 review/11 review/12
python3 -c "import quetzalgauge.platform.standin, review.harness_3.deployment, review.harness_3.engine"
