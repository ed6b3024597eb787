VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := packages/net packages/core packages/cell packages/node \
	packages/cellnode packages/client packages/standins platform
export PYTHONPATH := $(subst $(eval) ,:,$(PACKAGES:%=$(CURDIR)/%))
SOURCES := packages platform tests bench
SEED ?= 1
STEPS ?= 2000

.PHONY: setup demo playground test lint types unit format scenarios bench \
	capacity explore soak

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt $(PACKAGES:%=%/pyproject.toml)
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt setuptools wheel
	$(VENV)/bin/pip install -q -c constraints.txt --no-build-isolation \
		$(PACKAGES:%=-e %) pytest hypothesis ruff hacking mypy
	touch $@

demo: setup
	$(PY) -m celeryshift_standins.demo

playground: setup
	@$(PY) -m celeryshift_standins.playground

test: lint types unit

lint: setup
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)
	$(VENV)/bin/flake8 $(SOURCES)

types: setup
	$(VENV)/bin/mypy $(wildcard $(PACKAGES:%=%/celeryshift_*/))

unit: setup
	$(VENV)/bin/pytest

format: setup
	-$(VENV)/bin/ruff check --fix $(SOURCES)
	$(VENV)/bin/ruff format $(SOURCES)

# Arguments of tests/takeover.py: number of faults, seconds from the start of a
# run in which they may happen, and length of a run in seconds.
EXPLORE ?= 2 8 14

explore: setup
	$(PY) tests/takeover.py $(EXPLORE)

scenarios: setup
	$(PY) -m celeryshift_standins.scenarios scenarios/*.scn \
		--seed=$(SEED) --steps=$(STEPS) --known=KNOWN-RED.txt

bench: setup
	$(PY) -m bench.node
	$(PY) -m bench.orders
	$(PY) -m bench.placement
	$(PY) -m bench.teams
	$(PY) -m bench.configuration
	$(PY) -m bench.ownership

capacity: setup
	$(PY) -m bench.capacity

# Seeds of the soak test: the first one, and the one after the last.
SOAK ?= 1 11

soak: setup
	$(PY) -m tests.soak $(SOAK)
