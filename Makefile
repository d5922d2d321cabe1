# One command a task. `make setup` is done by the others where it is needed.
PYTHON ?= python3
BIN = .venv/bin

.PHONY: setup rehearse test bench check

setup: .venv/set-up

.venv/set-up: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/pip install -q -e '.[program,rehearsal,load,test]'
	touch $@

rehearse: setup
	$(BIN)/cedarshift rehearse cyclone-morning

test: setup
	$(BIN)/python -m pytest -q

bench: setup
	$(BIN)/python -m benchmarks.orders
	$(BIN)/python -m benchmarks.handover
	$(BIN)/python -m benchmarks.footprint
	$(BIN)/python -m benchmarks.lending
	$(BIN)/python -m benchmarks.member_merge

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
