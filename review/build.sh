#!/bin/sh
# Builds the stand-ins of the scripts. They are Python: those of the project are
# part of the build of the deploy file, those of the cases need only be compiled.
set -eu
cd "$(dirname "$0")/.."
test -f target/deps/quetzalgauge/platform/standin.py
test -f target/deps/quetzalgauge/standins/local_cluster.py
for case in review/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case"
done
