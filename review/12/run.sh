#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -c "import importlib; importlib.import_module('review.12.case')" || exit 2
exec python3 -m review.12.case
