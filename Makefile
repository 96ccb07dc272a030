VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
SEED ?= 1
SEEDS ?= 1
MINUTES ?= 2
DEPLOYMENT ?= terrasvuur

.PHONY: setup demo test lint check-generated generate bench soak chaos mutants binary golden ci

setup: $(VENV)/ready

$(VENV)/ready: requirements.lock requirements-run.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: setup
	$(BIN)/python -m lacewinghold demo --deployment $(DEPLOYMENT) --seed $(SEED)

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

generate: setup
	$(BIN)/python tools/generate_schema.py

check-generated: setup
	$(BIN)/python tools/generate_schema.py --check

bench: setup
	$(BIN)/python -m bench

soak: setup
	$(BIN)/python -m tests.processes.soak --seed $(SEED) --seeds $(SEEDS)

chaos: setup
	$(BIN)/python -m tools.soak --seed $(SEED) --minutes $(MINUTES)

mutants: setup
	$(BIN)/python -m tools.mutants

binary: setup
	$(BIN)/python -m tools.build_binary

golden: setup
	$(BIN)/python -m tools.golden

ci:
	bash .ci/run
