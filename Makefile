PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test lint format demo fault-matrix bench report slopes soak generate clean

setup: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(STAMP)

test: setup
	$(BIN)/pytest -n 6 --dist loadfile

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python tools/fault_matrix.py --check

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python tools/demo.py

fault-matrix: setup
	$(BIN)/python tools/fault_matrix.py

slopes: setup
	$(BIN)/python tools/slopes.py

bench: setup
	$(BIN)/python tools/bench_streams.py

report: setup
	$(BIN)/python tools/policy_report.py

SEED ?= 1
MINUTES ?= 10
soak: setup
	$(BIN)/python tools/soak.py --seed $(SEED) --minutes $(MINUTES)

# Needs the Debian package thrift-compiler. The result is committed, so that a
# build needs no generator.
generate:
	thrift --gen py:slots -out src idl/quetzalgauge.thrift
	thrift --gen py:slots -out src idl/exchange.thrift
	rm -f src/__init__.py src/quetzalgauge/gen/*-remote

clean:
	rm -rf $(VENV) build .pytest_cache .mypy_cache .ruff_cache
