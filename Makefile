PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
SEEDS ?= 1
MINUTES ?= 0.5
DAEMONS ?= 8
RUNS ?= 1

.PHONY: setup test lint demo playground bench soak review slopes overheads clean

$(STAMP): requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation \
		-e packages/firtrestle -e platform -e packages/firtrestle-client -e packages/firtrestle-standins
	touch $(STAMP)

setup: $(STAMP)

lint: setup
	$(BIN)/ruff check .
	$(BIN)/black --check -q .

test: lint
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m firtrestle_standins.demos

playground: setup
	$(BIN)/python -m firtrestle_standins.playgrounds

bench: setup
	$(BIN)/python -m bench all

soak: setup
	$(BIN)/python platform/tests/soaks.py --seed $(SEED) --seeds $(SEEDS) --minutes $(MINUTES) \
		--daemons $(DAEMONS)

review: setup
	$(BIN)/python platform/tests/review_plays.py --runs $(RUNS)

slopes: setup
	$(BIN)/python -m bench.slopes

overheads: setup
	$(BIN)/python -m bench.overheads

clean:
	rm -rf $(VENV) .run
