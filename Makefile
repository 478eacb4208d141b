DEPLOYMENT ?= attica
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test check experiments format clean
setup: $(VENV)/.stamp

$(VENV)/.stamp: pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: setup
	$(BIN)/python -m demo --deployment deployments/$(DEPLOYMENT).toml

test: setup
	$(BIN)/python -m tests

check: setup
	$(BIN)/ruff format --check bluebellsill demo tests
	$(BIN)/ruff check --quiet --select F,I bluebellsill demo tests
	$(BIN)/flake8 bluebellsill demo
	$(BIN)/mypy

experiments: setup
	$(BIN)/pip install --quiet --editable '.[plots]'
	$(BIN)/python -m demo.experiment experiments/*.toml
	$(BIN)/python -m demo.plot

format: setup
	$(BIN)/ruff format bluebellsill demo tests

clean:
	rm -rf $(VENV) build *.egg-info
