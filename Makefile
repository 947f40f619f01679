VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SEED ?= 1

.DEFAULT_GOAL := help

.PHONY: help
help: ## List the targets.
	@grep -E '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | awk -F ':.*## ' '{printf "%-10s %s\n", $$1, $$2}'

$(BIN)/sassafraswharfd: pyproject.toml requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

.PHONY: install
install: $(BIN)/sassafraswharfd ## Create the virtual environment with pinned versions.

.PHONY: format
format: install ## Format the code and apply safe lint fixes.
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

.PHONY: check
check: install ## Check formatting, lint and types.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

.PHONY: test
test: check ## Run every check and the tests.
	$(BIN)/python -m pytest

.PHONY: demo
demo: install ## Run three daemons and a few upstreams on loopback and show a recovery.
	$(BIN)/python -m sassafraswharf_bench.demo

.PHONY: bench
bench: install ## Run the benchmarks and check their bounds.
	$(BIN)/python -m sassafraswharf_bench.bench

.PHONY: capacity
capacity: install ## Measure the slopes and print the capacity table.
	$(BIN)/python -m sassafraswharf_bench.capacity

.PHONY: soak
soak: install ## Run 50 seeds of the fault soak; each takes about a minute.
	$(BIN)/python -m sassafraswharf_bench.soak --seed $(SEED) --seeds 50
