#!/bin/sh
# Checks and byte-compiles the stand-ins of the cases 6 to 10. The project's own
# ones come with the build of the deploy file, and are compiled there.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness_2 target/deps/quetzalgauge
PYTHONPATH=review:target/deps python3 -c \
  'from harness_2 import deployment, limit_case'
