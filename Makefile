PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup run test bench capacity soak soak-faults

setup: .venv/installed

.venv/installed: constraints.txt requirements.txt $(wildcard packages/*/pyproject.toml platform/pyproject.toml)
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -r requirements.txt
	touch $@

run: setup
	$(BIN)/python scripts/run.py

test: setup
	$(BIN)/python scripts/check.py

bench: setup
	$(BIN)/python -m bench

capacity: setup
	$(BIN)/python -m bench.capacity

soak: setup
	BAOBAB_HYPOTHESIS=soak $(BIN)/pytest packages

soak-faults: setup
	$(BIN)/python -m soak $(SOAK)
