DEPLOYMENT ?= pondside
MINUTES ?= 1
PYTHON ?= python3.11
SEED ?= 1
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: install test demo bench format fuzz soak

install: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -c constraints.txt -e '.[dev]'
	touch $(STAMP)

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/python -m foxtailway.testing.runner

demo: install
	$(VENV)/bin/python -m examples.demo --deployment $(DEPLOYMENT)

fuzz: install
	$(VENV)/bin/python -m foxtailway.testing.decoder_fuzzing --minutes $(MINUTES)

bench: install
	$(VENV)/bin/python -m benchmarks

soak: install
	$(VENV)/bin/python -m benchmarks.soak --seed $(SEED) --minutes $(MINUTES)
