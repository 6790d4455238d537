#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the disruption. Writes record.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps
export PYTHONPATH
# An import error must not look like a broken rule.
python3 -c 'import quetzalgauge.standins.local_cluster' || exit 2
exec python3 review/5/case.py
