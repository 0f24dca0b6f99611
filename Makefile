PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
# Tests mostly wait for processes and bounds, so this exceeds what they compute.
WORKERS ?= 6
STAMP := $(VENV)/.installed

.PHONY: install quickstart test lint types behave slopes bench soak clean

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt setuptools wheel
	$(BIN)/pip install --quiet --no-build-isolation --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

install: $(STAMP)

quickstart: install
	$(BIN)/wardstair-quickstart examples/palermo.toml

test: install
	$(BIN)/python -m behave --format progress --no-capture features
	$(BIN)/python -m pytest --numprocesses $(WORKERS) --dist worksteal

lint: install
	$(BIN)/ruff format --check src tests features bench
	$(BIN)/ruff check src tests features bench
	$(BIN)/flake8 src tests features bench

types: install
	$(BIN)/mypy

slopes: install
	$(BIN)/python bench/slopes.py

bench: install
	$(BIN)/python bench/request_path.py

clean:
	rm -rf build .mypy_cache .pytest_cache .ruff_cache

# Fresh seeds unless SEEDS names some; see docs/guide/soak.md.
soak: install
	cd tests && ../$(BIN)/python -m soak --seeds "$(SEEDS)" --count $(or $(COUNT),5)
