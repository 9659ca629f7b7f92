# The one task runner. Each target does its own set-up.
VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: test demo play lint format types check bench soak model capacity

$(READY): requirements/dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements/dev.txt
	$(BIN)/python -m pip install -q --no-deps -e .
	touch $(READY)

# Four workers, whole files each: 134 s become some 60 s. What measures a process's
# memory runs after the others.
test: $(READY)
	$(BIN)/python -m pytest -n 4 --dist loadfile $(OPTIONS)
	$(BIN)/python -m pytest -m alone $(OPTIONS)

soak: $(READY)
	$(BIN)/python -m pytest -m soak

model: $(READY)
	$(BIN)/python -m pytest -m deep

demo: $(READY)
	$(BIN)/python -m ebonyhold.experiments.demo

play: $(READY)
	$(BIN)/python -m ebonyhold.experiments.playground

bench: $(READY)
	$(BIN)/python -m ebonyhold.experiments.bench

capacity: $(READY)
	$(BIN)/python -m ebonyhold.experiments.capacity

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix -q .

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(READY)
	$(BIN)/mypy

check: lint types test
