PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test lint demo bench soak slopes clean

$(STAMP): requirements.lock $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation \
		-e packages/firtrestle -e packages/firtrestle-client -e packages/firtrestle-standins
	touch $(STAMP)

setup: $(STAMP)

lint: setup
	$(BIN)/ruff check .
	$(BIN)/black --check -q .

test: lint
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m firtrestle_standins.demos

bench: setup
	$(BIN)/python -m bench all

soak: setup
	$(BIN)/python -m bench soak

slopes: setup
	$(BIN)/python -m bench.slopes

clean:
	rm -rf $(VENV) .run
