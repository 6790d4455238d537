PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
KNOWN_RED := $(shell sed -n 's/^ *test: *//p' KNOWN-RED.txt)
DESELECT := $(KNOWN_RED:%='--deselect=%')

.PHONY: setup test lint format demo report bench quarantine-report generate clean

setup: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(STAMP)

test: setup
	$(BIN)/pytest -n 6 --dist loadfile -m 'not crowd' $(DESELECT)
	$(BIN)/pytest -m crowd $(DESELECT)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python tools/demo.py

report: setup
	$(BIN)/python tools/policy_report.py

bench: setup
	$(BIN)/python tools/placement_bench.py

quarantine-report: setup
	$(BIN)/python tools/quarantine_report.py

# Needs the Debian package thrift-compiler. The result is committed, so that a
# build needs no generator.
generate:
	thrift --gen py:slots -out src idl/exchange.thrift
	rm -f src/__init__.py src/quetzalgauge/gen/*/*-remote

clean:
	rm -rf $(VENV) build .pytest_cache .mypy_cache .ruff_cache
